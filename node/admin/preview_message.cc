#include "node/admin/preview_message.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "core/base/http_syntax.h"
#include "core/rollout/rollout_view.h"
#include "node/json/record_json.h"

namespace camphor {
namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;
using Key = PlacementPreview::Key;
using Outcome = PlacementPreview::Outcome;

constexpr std::size_t kMaxMethodLength = 64;
constexpr std::size_t kMaxHostLength = 255;
constexpr std::size_t kMaxPathLength = 16 * 1024;

bool IsHeaderValue(const value& text) {
  return text.is_string() && IsHttpFieldValue(text.get_string());
}

/// Reads the headers of a request. The messages contain no values.
void ReadHeaders(const value& headers, PreviewRequest& request,
                 std::vector<FieldError>& errors) {
  if (!headers.is_object()) {
    errors.push_back({.field = "headers", .message = "must be an object"});
    return;
  }
  for (const auto& member : headers.get_object()) {
    const std::string name(member.key());
    if (!IsHttpToken(name)) {
      errors.push_back(
          {.field = "headers",
           .message = "contains a name that is not a header name"});
      continue;
    }
    const auto report = [&](std::string message) {
      errors.push_back(
          {.field = "headers." + name, .message = std::move(message)});
    };
    if (IsHostFieldName(name)) {
      report("must be given as host");
      continue;
    }
    const array one{member.value()};
    const array& values =
        member.value().is_array() ? member.value().get_array() : one;
    if (!std::ranges::all_of(values, IsHeaderValue)) {
      report(
          "must be a string without control characters, or a list of such "
          "strings");
      continue;
    }
    for (const value& text : values) {
      request.headers.emplace_back(name, std::string(text.get_string()));
    }
  }
}

std::string_view KeyName(Key key) {
  switch (key) {
    case Key::kNotChecked:
      return "not_checked";
    case Key::kNotUsed:
      return "not_used";
    case Key::kAccepted:
      return "accepted";
    case Key::kMissing:
      return "missing";
    case Key::kRepeated:
      return "repeated";
    case Key::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRefused:
      return "refused";
    case Outcome::kRuns:
      return "runs";
    case Outcome::kWaits:
      return "waits";
    case Outcome::kSent:
      return "sent";
  }
  return "unknown";
}

std::string_view ExclusionName(TargetExclusion exclusion) {
  switch (exclusion) {
    case TargetExclusion::kLeaving:
      return "departed";
    case TargetExclusion::kEjected:
      return "ejected";
    case TargetExclusion::kCold:
      return "cold";
    case TargetExclusion::kFull:
      return "full";
  }
  return "unknown";
}

template <typename Value>
value OrNull(const std::optional<Value>& known) {
  return known ? value(*known) : value(nullptr);
}

value TextOrNull(std::string_view text) {
  return text.empty() ? value(nullptr) : value(boost::json::string(text));
}

boost::json::string Text(std::string_view text) {
  return boost::json::string(text);
}

std::int64_t MillisecondsBetween(MonoTime from, MonoTime to) {
  return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

value OrNull(const std::optional<Milliseconds>& known) {
  return known ? value(known->count()) : value(nullptr);
}

/// Builds the JSON of one preview.
class ViewBuilder {
 public:
  ViewBuilder(const PlacementPreview& preview,
              const PreviewSurroundings& surroundings)
      : preview_(preview),
        surroundings_(surroundings),
        routing_(*preview.routing) {}

  object Build() const {
    object view{{"host", surroundings_.host.value()},
                {"failure_domain", surroundings_.domain.value()},
                {"draining", preview_.draining},
                {"configuration",
                 {{"version", routing_.head.version},
                  {"age_ms", OrNull(surroundings_.config_age)}}},
                {"route", Route()},
                {"key", KeyView()},
                {"team", Team()},
                {"quota", Quota()},
                {"pool", PoolView()},
                {"targets", Targets()},
                {"attempts", Attempts()}};
    AddChoice(view);
    view["outcome"] = OutcomeView();
    return view;
  }

 private:
  const RoutedTarget& TargetAt(const Placement& placement) const {
    return routing_.pools[placement.pool]
        .groups[placement.group]
        .targets[placement.target];
  }

  boost::json::string IdOf(const Placement& placement) const {
    return Text(TargetAt(placement).info.id.value());
  }

  const RoutedRule& Routed() const { return routing_.routes[*preview_.route]; }

  value Route() const {
    if (!preview_.route) return nullptr;
    const RouteRule& rule = *Routed().rule;
    return object{{"name", rule.name.value()},
                  {"pool", rule.pool.value()},
                  {"public", rule.is_public},
                  {"repeatable", rule.repeatable},
                  {"at_most_once", rule.at_most_once},
                  {"target_latency_ms", rule.target_latency.count()}};
  }

  object KeyView() const {
    return {{"status", Text(KeyName(preview_.key))},
            {"digest", TextOrNull(preview_.key_digest)},
            {"keys_accepted_here", preview_.accepts_keys}};
  }

  value Team() const {
    if (!preview_.team) return nullptr;
    return object{{"name", preview_.team->name.value()},
                  {"priority", preview_.team->priority}};
  }

  value Quota() const {
    if (!preview_.team || preview_.team->requests_per_second <= 0)
      return nullptr;
    object quota{{"requests_per_second", preview_.team->requests_per_second},
                 {"burst", preview_.team->burst},
                 {"allocator", TextOrNull(surroundings_.allocator.value())},
                 {"on_this_host", nullptr},
                 {"over_all_hosts", nullptr}};
    if (preview_.quota) {
      quota["on_this_host"] = {
          {"admits", !preview_.quota->retry_after},
          {"remaining_requests", preview_.quota->remaining},
          {"limited", preview_.quota->limited},
          {"requests_per_second", preview_.quota->rate},
          {"lease_left_ms", OrNull(preview_.quota->lease_left)}};
    }
    if (surroundings_.allocated) {
      quota["over_all_hosts"] = {
          {"limited", surroundings_.allocated->limited},
          {"remaining_requests", surroundings_.allocated->level},
          {"demand_per_s", surroundings_.allocated->demand}};
    }
    return quota;
  }

  /// The chosen pool, its versions and their shares.
  value PoolView() const {
    if (!preview_.pool) return nullptr;
    const PoolRouting& pool = routing_.pools[*preview_.pool];
    const RoutedRule& routed = Routed();
    array split;
    for (const RoutedShare& share : routed.split) {
      split.push_back(
          object{{"pool", routing_.pools[share.pool].spec.name.value()},
                 {"weight", share.weight}});
    }
    const std::uint32_t new_share =
        *preview_.share < routed.split.size()
            ? routed.split[*preview_.share].new_share_ppm
            : routed.new_share_ppm;
    array versions;
    for (std::size_t group = 0; group < pool.groups.size(); ++group) {
      const bool is_new = group > 0;
      versions.push_back(
          object{{"version", TextOrNull(pool.groups[group].version.value())},
                 {"share_ppm", is_new ? new_share : 1'000'000 - new_share},
                 {"targets", pool.groups[group].targets.size()}});
    }
    object view{{"name", pool.spec.name.value()},
                {"split", std::move(split)},
                {"versions", std::move(versions)},
                {"rollout", nullptr}};
    if (pool.rollout == RolloutId{}) return view;
    const auto record = surroundings_.rollouts.find(pool.rollout);
    const RolloutStage stage = record == surroundings_.rollouts.end()
                                   ? RolloutStage::kPending
                                   : record->second.stage;
    view["rollout"] = {{"id", pool.rollout.value()},
                       {"stage", Text(RolloutStageName(stage))}};
    return view;
  }

  /// Returns why the first attempt could not choose the target; empty if it
  /// could.
  std::string_view ExclusionOf(
      const PowerOfTwoBalancer::Candidate& candidate) const {
    if (!preview_.attempts.empty() &&
        candidate.placement.group != preview_.attempts[0].placement.group)
      return "other_version";
    if (!candidate.exclusion) return "";
    const bool lacks_capacity = candidate.exclusion == TargetExclusion::kCold ||
                                candidate.exclusion == TargetExclusion::kFull;
    const bool capacity_needed =
        !preview_.attempts.empty() && !preview_.attempts[0].draws.empty() &&
        preview_.attempts[0].draws.back().with_capacity;
    if (lacks_capacity && !capacity_needed) return "";
    return ExclusionName(*candidate.exclusion);
  }

  object TargetRow(const PlacementPreview::Target& target) const {
    const PowerOfTwoBalancer::Candidate& candidate = target.candidate;
    const TargetStats& stats = candidate.stats;
    const RoutedTarget& routed = TargetAt(candidate.placement);
    const std::string_view exclusion = ExclusionOf(candidate);
    object row{
        {"id", routed.info.id.value()},
        {"host", routed.host.value()},
        {"failure_domain", routed.domain.value()},
        {"version", routed.info.version.value()},
        {"status", Text(TargetStatusName(routed.info.status))},
        {"excluded", TextOrNull(exclusion)},
        {"limited_by", exclusion.empty() && candidate.exclusion
                           ? TextOrNull(ExclusionName(*candidate.exclusion))
                           : value(nullptr)},
        {"expected_ms",
         candidate.expected
             ? value(static_cast<double>(candidate.expected->count()) / 1000)
             : value(nullptr)},
        {"speed", OrNull(candidate.speed)},
        {"speed_age_ms",
         candidate.speed
             ? value(MillisecondsBetween(stats.speed_reported_at, preview_.now))
             : value(nullptr)},
        {"slots", routed.info.slots},
        {"in_flight_from_this_host", stats.in_flight}};
    AddLoad(target, row);
    if (stats.ejected_until > preview_.now) {
      row["ejected_for_ms"] =
          MillisecondsBetween(preview_.now, stats.ejected_until);
    }
    if (stats.cold_per_second > 0)
      row["cold_share_per_s"] = stats.cold_per_second;
    return row;
  }

  /// Adds the slots in use and the queue: exact for a target of this host, as
  /// last reported for another one.
  void AddLoad(const PlacementPreview::Target& target, object& row) const {
    row["slots_in_use"] = nullptr;
    row["queue"] = nullptr;
    row["slots_in_use_and_queue"] = nullptr;
    row["load_age_ms"] = nullptr;
    const TargetStats& stats = target.candidate.stats;
    if (target.local && target.local->slots > 0) {
      row["slots"] = target.local->slots;
      row["slots_in_use"] = target.local->running;
      row["queue"] = target.local->waiting;
      row["slots_in_use_and_queue"] =
          target.local->running + target.local->waiting;
      row["load_age_ms"] = 0;
    } else if (!target.local && stats.reported_service_us > 0) {
      row["slots_in_use_and_queue"] = stats.reported_load;
      row["load_age_ms"] =
          MillisecondsBetween(stats.load_reported_at, preview_.now);
    }
  }

  /// Returns why an announced target is not part of the routing.
  std::string_view AbsenceOf(const HostRecord& host,
                             const TargetInfo& target) const {
    if (routing_.IsEvacuated(host.domain)) return "evacuated";
    if (host.status == HostStatus::kLeaving ||
        host.status == HostStatus::kDead ||
        target.status == TargetStatus::kLeaving)
      return "departed";
    if (host.status == HostStatus::kSuspect) return "suspect_host";
    const PoolRouting& pool = routing_.pools[*preview_.pool];
    const bool served =
        std::ranges::find(pool.groups, target.version,
                          &VersionGroup::version) != pool.groups.end();
    // Changes reach the routing within milliseconds. During a rollout, the
    // share of the new version goes to some of its targets.
    return served && pool.rollout == RolloutId{} ? "not_routed_yet"
                                                 : "other_version";
  }

  array Targets() const {
    array rows;
    if (!preview_.pool) return rows;
    std::set<std::pair<std::string, std::string>> listed;
    for (const PlacementPreview::Target& target : preview_.targets) {
      const RoutedTarget& routed = TargetAt(target.candidate.placement);
      listed.emplace(routed.host.value(), routed.info.id.value());
      rows.push_back(TargetRow(target));
    }
    const PoolName& pool = routing_.pools[*preview_.pool].spec.name;
    for (const auto& [id, host] : surroundings_.hosts) {
      for (const TargetInfo& target : host.targets) {
        if (target.pool != pool ||
            listed.contains({host.host.value(), target.id.value()}))
          continue;
        rows.push_back(object{{"id", target.id.value()},
                              {"host", host.host.value()},
                              {"failure_domain", host.domain.value()},
                              {"version", target.version.value()},
                              {"status", Text(TargetStatusName(target.status))},
                              {"excluded", Text(AbsenceOf(host, target))}});
      }
    }
    return rows;
  }

  static value RefusalName(const std::optional<ProxyError>& refusal) {
    return refusal ? TextOrNull(GetErrorTraits(*refusal).reason)
                   : value(nullptr);
  }

  array Attempts() const {
    array rows;
    for (const PlacementPreview::Attempt& attempt : preview_.attempts) {
      array draws;
      for (const ChoiceDraw& draw : attempt.draws) {
        array drawn{IdOf(draw.first)};
        if (draw.second) drawn.emplace_back(IdOf(*draw.second));
        draws.push_back(object{{"drawn", std::move(drawn)},
                               {"better", IdOf(draw.better)},
                               {"own_failure_domain", draw.own_domain},
                               {"with_capacity", draw.with_capacity}});
      }
      rows.push_back(
          object{{"target", IdOf(attempt.placement)},
                 {"draws", std::move(draws)},
                 {"refused_by_this_host", RefusalName(attempt.refusal)}});
    }
    return rows;
  }

  /// Adds the target of the last attempt and how it was chosen.
  void AddChoice(object& view) const {
    view["chosen"] = nullptr;
    view["random"] = preview_.route && Routed().split.size() > 1;
    view["drawn"] = array();
    if (preview_.attempts.empty()) return;
    const PlacementPreview::Attempt& last = preview_.attempts.back();
    if (preview_.outcome != Outcome::kRefused) {
      const RoutedTarget& chosen = TargetAt(last.placement);
      view["chosen"] = {{"target", chosen.info.id.value()},
                        {"host", chosen.host.value()},
                        {"failure_domain", chosen.domain.value()},
                        {"version", chosen.info.version.value()},
                        {"on_this_host", chosen.local}};
    }
    const bool random = std::ranges::any_of(
        last.draws,
        [](const ChoiceDraw& draw) { return draw.second.has_value(); });
    if (random) view["random"] = true;
    if (last.draws.empty()) return;
    // The comparison that the chosen target won.
    const auto won =
        std::ranges::find(last.draws, last.placement, &ChoiceDraw::better);
    if (won == last.draws.end()) return;
    array drawn{IdOf(won->first)};
    if (won->second) drawn.emplace_back(IdOf(*won->second));
    view["drawn"] = std::move(drawn);
  }

  object OutcomeView() const {
    object view{{"kind", Text(OutcomeName(preview_.outcome))}};
    if (preview_.outcome == Outcome::kSent) {
      // Slots and queue of the target are known on its host only.
      view["runs_at_once"] = nullptr;
    }
    if (!preview_.error) return view;
    const ProxyErrorTraits& traits = GetErrorTraits(*preview_.error);
    view["status"] = static_cast<unsigned>(traits.status);
    view["reason"] = Text(traits.reason);
    view["message"] =
        Text(preview_.fault.empty() ? traits.message : preview_.fault);
    view["not_run"] = traits.not_run;
    view["retry_after_ms"] = OrNull(preview_.retry_after);
    return view;
  }

  const PlacementPreview& preview_;
  const PreviewSurroundings& surroundings_;
  const EffectiveRouting& routing_;
};

}  // namespace

std::optional<PreviewRequest> ParsePreviewRequest(
    std::string_view body, std::vector<FieldError>& errors) {
  std::string reason;
  const std::optional<value> parsed = ParseJsonWithComments(body, reason);
  if (!parsed || !parsed->is_object()) {
    errors.push_back(
        {.message = parsed ? "the body must be an object" : reason});
    return std::nullopt;
  }
  // The values of the headers are read separately: JsonFields needs to know
  // the names.
  object rest = parsed->get_object();
  const value* const headers = parsed->get_object().if_contains("headers");
  rest.erase("headers");
  JsonFields fields(rest, "", errors);
  PreviewRequest request{
      .method = fields.String("method", {}, kMaxMethodLength),
      .host = fields.String("host", {}, kMaxHostLength),
      .path = fields.String("path", {}, kMaxPathLength)};
  if (!request.method.empty() && !IsHttpToken(request.method))
    fields.Report("method", "must be a method, such as GET");
  if (!IsVisibleText(request.host))
    fields.Report("host", "must not contain spaces");
  if (!request.path.empty() &&
      (!request.path.starts_with('/') || !IsVisibleText(request.path)))
    fields.Report("path", "must start with / and must not contain spaces");
  fields.Finish();
  if (headers != nullptr) ReadHeaders(*headers, request, errors);
  if (!errors.empty()) return std::nullopt;
  return request;
}

object PreviewView(const PlacementPreview& preview,
                   const PreviewSurroundings& surroundings) {
  return ViewBuilder(preview, surroundings).Build();
}

}  // namespace camphor

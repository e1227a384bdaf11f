#include "node/json/record_json.h"

#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "core/base/json_fields.h"
#include "core/base/wall_time_text.h"
#include "core/rollout/rollout_view.h"

namespace camphor {
namespace {

constexpr std::array<RolloutStage, 6> kStages = {
    RolloutStage::kPending, RolloutStage::kCanary, RolloutStage::kRamp,
    RolloutStage::kBake,    RolloutStage::kDone,   RolloutStage::kRolledBack};
constexpr std::array<std::string_view, 4> kHostStatusNames = {
    "alive", "suspect", "leaving", "dead"};
constexpr std::array<std::string_view, 3> kTargetStatusNames = {
    "warming", "ready", "leaving"};
constexpr std::int64_t kMaxSharePpm = 1'000'000;
constexpr std::size_t kMaxTextLength = 4096;

boost::json::string Text(std::string_view text) {
  return boost::json::string(text);
}

std::optional<RolloutStage> ParseStage(std::string_view name) {
  for (const RolloutStage stage : kStages) {
    if (RolloutStageName(stage) == name) return stage;
  }
  return std::nullopt;
}

boost::json::object ToJson(const RolloutReason& reason) {
  return {{"signal", reason.signal},
          {"route", reason.route.value()},
          {"new_requests", reason.new_requests},
          {"old_requests", reason.old_requests},
          {"sentence", reason.sentence}};
}

std::uint64_t ReadCounter(JsonFields& fields, std::string_view key) {
  return static_cast<std::uint64_t>(
      fields.Integer(key, 0, std::numeric_limits<std::int64_t>::max(), 0));
}

/// Reads a string that may be empty.
std::string ReadText(JsonFields& fields, std::string_view key) {
  std::string text = fields.String(key, "", kMaxTextLength);
  return text;
}

RolloutReason ReadReason(JsonFields& fields) {
  return {.signal = ReadText(fields, "signal"),
          .route = RouteName(ReadText(fields, "route")),
          .new_requests = ReadCounter(fields, "new_requests"),
          .old_requests = ReadCounter(fields, "old_requests"),
          .sentence = ReadText(fields, "sentence")};
}

}  // namespace

std::string_view HostStatusName(HostStatus status) {
  return kHostStatusNames.at(static_cast<std::size_t>(status));
}

std::string_view TargetStatusName(TargetStatus status) {
  return kTargetStatusNames.at(static_cast<std::size_t>(status));
}

boost::json::object ToJson(const TargetInfo& target) {
  return {{"id", target.id.value()},
          {"pool", target.pool.value()},
          {"version", target.version.value()},
          {"slots", target.slots},
          {"status", Text(TargetStatusName(target.status))}};
}

boost::json::object ToJson(const HostRecord& host) {
  boost::json::array targets;
  for (const TargetInfo& target : host.targets)
    targets.push_back(ToJson(target));
  return {{"host", host.host.value()},
          {"failure_domain", host.domain.value()},
          {"status", Text(HostStatusName(host.status))},
          {"config_version", host.config_version},
          {"platform_lost", host.platform_lost},
          {"mesh", host.mesh.ToString()},
          {"forward", host.forward.ToString()},
          {"incarnation", host.incarnation},
          {"sequence", host.sequence},
          {"targets", std::move(targets)}};
}

boost::json::object ToJson(const RolloutRecord& rollout) {
  return {{"id", rollout.id.value()},
          {"stage", Text(RolloutStageName(rollout.stage))},
          {"share_ppm", rollout.share_ppm},
          {"stage_since", FormatWallTime(rollout.stage_since)},
          {"ordered_at_ms", rollout.ordered_at.time_since_epoch().count()},
          {"hurry", rollout.hurry},
          {"recorded", rollout.recorded},
          {"reason", ToJson(rollout.reason)}};
}

std::optional<RolloutRecord> ParseRolloutRecord(std::string_view text) {
  std::string reason;
  const std::optional<boost::json::value> document =
      ParseJsonWithComments(text, reason);
  if (!document.has_value() || !document->is_object()) return std::nullopt;

  std::vector<FieldError> errors;
  JsonFields fields(document->get_object(), "", errors);
  RolloutRecord record;
  record.id = RolloutId(fields.String("id", {}, kMaxTextLength));
  const std::optional<RolloutStage> stage = ParseStage(fields.String("stage"));
  const std::optional<WallTime> since =
      ParseWallTime(fields.String("stage_since"));
  record.share_ppm =
      static_cast<std::uint32_t>(fields.Integer("share_ppm", 0, kMaxSharePpm));
  record.ordered_at =
      WallTime(Milliseconds(ReadCounter(fields, "ordered_at_ms")));
  record.hurry = fields.Boolean("hurry", false);
  record.recorded = fields.Boolean("recorded", false);
  // Errors in the reason are ignored: its strings may be empty.
  std::vector<FieldError> reason_errors;
  if (const boost::json::value* found =
          document->get_object().if_contains("reason");
      found != nullptr && found->is_object()) {
    JsonFields reason_fields(found->get_object(), "reason", reason_errors);
    record.reason = ReadReason(reason_fields);
  }
  if (!errors.empty() || !stage.has_value() || !since.has_value()) {
    return std::nullopt;
  }
  record.stage = *stage;
  record.stage_since = *since;
  return record;
}

}  // namespace camphor

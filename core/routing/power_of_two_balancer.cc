#include "core/routing/power_of_two_balancer.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace camphor {
namespace {

constexpr double kPartsPerMillion = 1'000'000;

// Weight of the newest sample in the moving average of the failure rate.
constexpr double kFailureWeight = 0.1;

// At a failure rate of 1, the cost of a target is multiplied by 1 plus this.
constexpr double kFailurePenalty = 20;

// Slow-start factor of a target that was just announced; divides its cost.
constexpr double kMinSlowStartFactor = 0.1;

// Assumed latency of a target without samples.
constexpr double kUnknownLatencyUs = 1000;

// Responses until the own average of a target's latency counts as its speed. Of
// the first one, an eighth is left in it then. With fewer, some equal targets
// of a pool differ by half and more, and a target that looks slow gets few
// requests that could correct it.
constexpr std::uint32_t kMinSlownessSamples = 20;

// Fraction of the latency objective that the local failure domain may use up
// before another domain is considered.
constexpr double kObjectiveFraction = 0.6;

// The same, for an expected end that is based on reports. It doesn't contain
// the noise of the service time, for which half of the objective is left.
constexpr double kReportedFraction = 0.5;

// Another domain must be better by this factor, including the crossing, since
// bytes between domains are charged.
constexpr double kClearlyBetter = 0.9;

// Failure rate that justifies the traffic cost of crossing failure domains.
constexpr double kCrossingFailureRate = 0.2;

// Requests to a cold target that this proxy may send at once. Many proxies may
// each do so, and the target's host refuses what is too much.
constexpr double kMaxColdTokens = 1;

// Round-trip time to another failure domain.
constexpr double kCrossingUs = 8000;

// Speed relative to the pool beyond which a target is not drawn more often, and
// the number of draws after which the last one is kept.
constexpr double kMaxRelativeSpeed = 2;
constexpr int kMaxRedraws = 8;

// Backoff after a target refuses a request; doubles with each refusal.
constexpr Milliseconds kInitialRefusalBackoff{20};
constexpr Milliseconds kMaxRefusalBackoff{1000};
constexpr std::uint32_t kMaxDoublings = 6;

// A reported load of this age says nothing about free slots any more.
constexpr Milliseconds kMaxLoadAge{1000};

// Returns true if the host of the target has reported recently.
bool HasRecentReport(const TargetStats& stats, MonoTime now) {
  return stats.reported_service_us > 0 &&
         now - stats.load_reported_at <= FinishModel::kMaxSpeedAge;
}

/// Updates the share of one proxy in the rate that a cold target tolerates.
void SetColdShare(TargetStats& stats, double per_second, MonoTime now) {
  if (per_second == 0) {
    stats.cold_per_second = 0;
    return;
  }
  if (stats.cold_per_second == 0) {
    // The slow start covers the cold phase and what follows it.
    stats.first_seen = now;
    stats.cold_tokens = kMaxColdTokens;
    stats.cold_refilled = now;
  }
  stats.cold_per_second = per_second;
}

double ColdTokens(const TargetStats& stats, MonoTime now) {
  const std::chrono::duration<double> elapsed =
      std::max(now, stats.cold_refilled) - stats.cold_refilled;
  return std::min(kMaxColdTokens,
                  stats.cold_tokens + elapsed.count() * stats.cold_per_second);
}

void TakeColdToken(TargetStats& stats, MonoTime now) {
  if (stats.cold_per_second == 0) return;
  stats.cold_tokens = std::max(0.0, ColdTokens(stats, now) - 1);
  stats.cold_refilled = now;
}

}  // namespace

PowerOfTwoBalancer::PowerOfTwoBalancer(Options options)
    : options_(std::move(options)),
      outliers_(options_.outliers),
      random_(options_.random_seed) {}

PowerOfTwoBalancer::PowerOfTwoBalancer(const PowerOfTwoBalancer& other)
    : options_(other.options_),
      outliers_(other.outliers_),
      random_(other.random_),
      routing_(other.routing_),
      new_version_credit_(other.new_version_credit_),
      saved_credit_(other.saved_credit_),
      stats_(other.stats_),
      latency_(other.latency_),
      finish_(other.finish_) {
  // The views point to the statistics of their own balancer.
  if (routing_) BuildViews();
}

void PowerOfTwoBalancer::SetRouting(const EffectiveRoutingPtr& routing,
                                    MonoTime now) {
  if (routing == routing_) return;

  // Carry the credits over by route name, since indices change.
  for (std::size_t route = 0; route < new_version_credit_.size(); ++route) {
    saved_credit_[routing_->routes[route].rule->name] =
        new_version_credit_[route];
  }
  const EffectiveRoutingPtr previous = std::exchange(routing_, routing);
  new_version_credit_.clear();
  std::uniform_real_distribution<double> phase(0, 1);
  for (const RoutedRule& route : routing->routes) {
    // A random initial credit keeps many proxies from sending their first
    // request to the new version at the same time.
    const auto saved = saved_credit_.find(route.rule->name);
    new_version_credit_.push_back(saved == saved_credit_.end() ? phase(random_)
                                                               : saved->second);
  }
  saved_credit_.clear();

  UpdateStats(previous.get(), now);
  BuildViews();
}

void PowerOfTwoBalancer::BuildViews() {
  pools_.clear();
  for (const PoolRouting& pool : routing_->pools) {
    PoolView& view = pools_.emplace_back();
    for (std::uint32_t group = 0; group < pool.groups.size(); ++group) {
      GroupView& group_view = view.groups.emplace_back();
      group_view.group = group;
      const std::vector<RoutedTarget>& targets = pool.groups[group].targets;
      for (std::uint32_t index = 0; index < targets.size(); ++index) {
        const bool own = targets[index].domain == options_.domain;
        (own ? group_view.local_domain : group_view.others).push_back(index);
        group_view.stats.push_back(&stats_[targets[index].info.id]);
      }
      view.targets += targets.size();
    }
  }
}

void PowerOfTwoBalancer::UpdateStats(const EffectiveRouting* previous,
                                     MonoTime now) {
  // Drop the statistics of targets that the routing no longer contains.
  std::unordered_map<TargetId, TargetStats> kept;
  const bool after_evacuation =
      previous != nullptr && !previous->evacuated_domains.empty();
  const bool first = stats_.empty() && !after_evacuation;
  for (const PoolRouting& pool : routing_->pools) {
    for (const VersionGroup& group : pool.groups) {
      for (const RoutedTarget& target : group.targets) {
        TargetStats& stats = kept[target.info.id];
        const bool warming = target.info.status == TargetStatus::kWarming;
        const auto known = stats_.find(target.info.id);
        if (known != stats_.end()) {
          stats = known->second;
        } else {
          // When this proxy has just started, every target is new to it. Only
          // targets that announce themselves as warming get a slow start then.
          stats.first_seen =
              !first || warming ? now : now - options_.slow_start;
          stats.returned =
              previous != nullptr && previous->IsEvacuated(target.domain);
        }
        const double cold_rate =
            warming ? pool.spec.cold_requests_per_second : 0;
        SetColdShare(stats, cold_rate / static_cast<double>(routing_->hosts),
                     now);
      }
    }
  }
  stats_ = std::move(kept);
}

RoutedShare PowerOfTwoBalancer::GetShare(std::uint32_t route,
                                         std::uint32_t share) const {
  const RoutedRule& rule = routing_->routes[route];
  if (share < rule.split.size()) return rule.split[share];
  return {.pool = rule.pool, .new_share_ppm = rule.new_share_ppm};
}

std::uint32_t PowerOfTwoBalancer::ChooseShare(std::uint32_t route) {
  const std::vector<RoutedShare>& split = routing_->routes[route].split;
  std::uint64_t total = 0;
  for (const RoutedShare& share : split) total += share.weight;
  if (total == 0) return 0;
  std::uint64_t remaining = random_() % total;
  for (std::uint32_t index = 0; index < split.size(); ++index) {
    if (remaining < split[index].weight) return index;
    remaining -= split[index].weight;
  }
  return 0;
}

std::optional<Placement> PowerOfTwoBalancer::Choose(
    std::uint32_t route, std::uint32_t share, std::span<const Placement> tried,
    MonoTime now, std::vector<ChoiceDraw>* draws) {
  assert(routing_ && route < routing_->routes.size());
  const RoutedShare part = GetShare(route, share);
  ChoiceParams params = MakeParams(route, tried, now);
  params.draws = draws;
  const std::optional<Placement> chosen = ChoosePlacement(route, part, params);
  if (chosen) {
    const GroupView& view = pools_[chosen->pool].groups[chosen->group];
    TakeColdToken(*view.stats[chosen->target], now);
  }
  return chosen;
}

PowerOfTwoBalancer::ChoiceParams PowerOfTwoBalancer::MakeParams(
    std::uint32_t route, std::span<const Placement> tried, MonoTime now) const {
  const RouteRule& rule = *routing_->routes[route].rule;
  return {
      .tried = tried,
      .objective = rule.target_latency,
      .typical_us = latency_.TypicalUs(rule.name),
      .service_us = finish_.HasReports(now) ? finish_.TypicalUs(rule.name) : 0,
      .now = now};
}

std::vector<PowerOfTwoBalancer::Candidate> PowerOfTwoBalancer::Candidates(
    std::uint32_t route, std::uint32_t share, MonoTime now) const {
  const std::uint32_t pool = GetShare(route, share).pool;
  const ChoiceParams params = MakeParams(route, {}, now);
  std::vector<Candidate> candidates;
  for (const GroupView& view : pools_[pool].groups) {
    const std::vector<RoutedTarget>& targets =
        routing_->pools[pool].groups[view.group].targets;
    for (std::uint32_t index = 0; index < targets.size(); ++index) {
      const TargetStats& stats = *view.stats[index];
      Candidate candidate{
          .placement = {.pool = pool, .group = view.group, .target = index},
          .exclusion = FindExclusion(targets[index], stats, now),
          .stats = stats};
      // Choose substitutes a constant for what was not measured.
      const bool measured =
          params.service_us > 0 ||
          LatencyModel::ExpectedUs(params.typical_us, stats) > 0;
      if (measured) {
        candidate.expected = Microseconds(static_cast<std::int64_t>(
            ExpectedUs(targets[index], stats, params)));
      }
      if (stats.relative_service > 0 &&
          now - stats.speed_reported_at <= FinishModel::kMaxSpeedAge)
        candidate.speed = 1 / FinishModel::RelativeService(stats, now);
      candidates.push_back(candidate);
    }
  }
  return candidates;
}

PowerOfTwoBalancer::PoolRoom PowerOfTwoBalancer::CountRoom(std::uint32_t route,
                                                           std::uint32_t share,
                                                           MonoTime now) const {
  const std::uint32_t pool = GetShare(route, share).pool;
  PoolRoom room;
  for (const GroupView& view : pools_[pool].groups) {
    const std::vector<RoutedTarget>& targets =
        routing_->pools[pool].groups[view.group].targets;
    for (std::uint32_t index = 0; index < targets.size(); ++index) {
      const TargetStats& stats = *view.stats[index];
      if (stats.leaving || stats.ejected_until > now) continue;
      ++room.usable;
      if (HasRoom(targets[index], stats, now)) ++room.with_room;
    }
  }
  return room;
}

std::optional<Placement> PowerOfTwoBalancer::ChooseWithRoom(
    std::uint32_t route, std::uint32_t share, std::span<const Placement> tried,
    MonoTime now) {
  assert(routing_ && route < routing_->routes.size());
  // Takes no token of a cold target, since cold targets are not returned.
  const std::optional<Placement> chosen = ChoosePlacement(
      route, GetShare(route, share), MakeParams(route, tried, now));
  if (!chosen) return std::nullopt;
  const RoutedTarget& target = routing_->pools[chosen->pool]
                                   .groups[chosen->group]
                                   .targets[chosen->target];
  const TargetStats& stats =
      *pools_[chosen->pool].groups[chosen->group].stats[chosen->target];
  return HasRoom(target, stats, now) ? chosen : std::nullopt;
}

double PowerOfTwoBalancer::ColdShare(std::uint32_t route,
                                     std::uint32_t share) const {
  double per_second = 0;
  for (const GroupView& group : pools_[GetShare(route, share).pool].groups) {
    for (const TargetStats* stats : group.stats)
      per_second += stats->cold_per_second;
  }
  return per_second;
}

std::optional<Placement> PowerOfTwoBalancer::ChoosePlacement(
    std::uint32_t route, const RoutedShare& part, const ChoiceParams& params) {
  const std::uint32_t pool = part.pool;
  const std::optional<std::uint32_t> group = ChooseGroup(route, part);
  if (!group) return std::nullopt;
  const std::optional<Placement> chosen =
      ChooseTarget({.pool = pool, .group = *group}, params);
  if (chosen) return chosen;

  // If the chosen version has no usable target, fall back to the other version,
  // provided that it may get traffic.
  const std::vector<VersionGroup>& groups = routing_->pools[pool].groups;
  for (std::uint32_t other = 0; other < groups.size(); ++other) {
    if (other == *group || groups[other].share_ppm == 0) continue;
    if (other == 1 && part.new_share_ppm == 0) continue;
    return ChooseTarget({.pool = pool, .group = other}, params);
  }
  return std::nullopt;
}

bool PowerOfTwoBalancer::HasUntriedTarget(std::uint32_t route,
                                          std::uint32_t share,
                                          std::span<const Placement> tried,
                                          MonoTime now) const {
  const RoutedShare part = GetShare(route, share);
  for (const GroupView& view : pools_[part.pool].groups) {
    const VersionGroup& group = routing_->pools[part.pool].groups[view.group];
    if (group.share_ppm == 0) continue;
    if (view.group == 1 && part.new_share_ppm == 0) continue;
    for (std::uint32_t target = 0; target < view.stats.size(); ++target) {
      const Placement placement{
          .pool = part.pool, .group = view.group, .target = target};
      const TargetStats& stats = *view.stats[target];
      const bool usable = !stats.leaving && stats.ejected_until <= now;
      if (usable && std::ranges::find(tried, placement) == tried.end())
        return true;
    }
  }
  return false;
}

std::optional<std::uint32_t> PowerOfTwoBalancer::ChooseGroup(
    std::uint32_t route, const RoutedShare& part) {
  const PoolRouting& pool = routing_->pools[part.pool];
  if (pool.groups.empty()) return std::nullopt;
  if (pool.groups.size() == 1) return 0;
  const std::uint32_t share = part.new_share_ppm;
  if (share == 0) return 0;
  double& credit = new_version_credit_[route];
  credit += share / kPartsPerMillion;
  if (credit < 1) return 0;
  credit -= 1;
  return 1;
}

std::optional<Placement> PowerOfTwoBalancer::ChooseTarget(
    const Placement& group, const ChoiceParams& params) {
  const GroupView& view = pools_[group.pool].groups[group.group];
  const std::vector<RoutedTarget>& targets =
      routing_->pools[group.pool].groups[group.group].targets;
  // Preference: local failure domain with capacity, other domains with
  // capacity, then any target that is not ejected.
  std::optional<std::uint32_t> target =
      ChooseBetterOfTwo(view.local_domain, group, params, true);
  if (!target) {
    target = ChooseBetterOfTwo(view.others, group, params, true);
  } else if (MissesObjective(targets[*target], *view.stats[*target], params)) {
    const auto other = ChooseBetterOfTwo(view.others, group, params, true);
    if (other && ShouldCrossDomain(
                     ExpectedUs(targets[*target], *view.stats[*target], params),
                     ExpectedUs(targets[*other], *view.stats[*other], params),
                     params.service_us > 0))
      target = other;
  }
  if (target && view.stats[*target]->returned &&
      SlowStartFactor(*view.stats[*target], params.now) < 1) {
    // All targets of a returned domain are in their slow start together, so it
    // has to compare them with those of the other domains. The share that
    // stays in the domain rises with time.
    std::uniform_real_distribution<double> draw(0, 1);
    const bool stays =
        draw(random_) < SlowStartFactor(*view.stats[*target], params.now);
    const auto other =
        stays ? std::nullopt
              : ChooseBetterOfTwo(view.others, group, params, true);
    if (other) target = other;
  }
  if (!target)
    target = ChooseBetterOfTwo(view.local_domain, group, params, false);
  if (!target) target = ChooseBetterOfTwo(view.others, group, params, false);
  if (!target) return std::nullopt;
  return Placement{.pool = group.pool, .group = group.group, .target = *target};
}

bool PowerOfTwoBalancer::MissesObjective(const RoutedTarget& target,
                                         const TargetStats& stats,
                                         const ChoiceParams& params) {
  if (params.objective.count() == 0) return false;
  if (stats.failure_rate > kCrossingFailureRate) return true;
  const double bound_us =
      kObjectiveFraction *
      static_cast<double>(std::chrono::microseconds(params.objective).count());
  if (params.service_us == 0 || !HasRecentReport(stats, params.now))
    return LatencyModel::ExpectedUs(params.typical_us, stats) > bound_us;
  // A retry has already used up part of its objective.
  if (!params.tried.empty()) return true;
  return ExpectedUs(target, stats, params) >
         bound_us * kReportedFraction / kObjectiveFraction;
}

bool PowerOfTwoBalancer::ShouldCrossDomain(double own_us, double other_us,
                                           bool reported) {
  const double there_us = other_us + kCrossingUs;
  // The reports of all targets stay recent without the draw below, since each
  // target is also chosen by the hosts of its own domain.
  if (reported) return there_us < kClearlyBetter * own_us;
  if (there_us >= own_us) return false;
  // Randomised in proportion to the latencies: the slower target still gets
  // samples, and the proxies do not all move to the same target.
  std::uniform_real_distribution<double> draw(0, own_us + there_us);
  return draw(random_) < own_us;
}

double PowerOfTwoBalancer::ExpectedUs(const RoutedTarget& target,
                                      const TargetStats& stats,
                                      const ChoiceParams& params) {
  if (params.service_us == 0)
    return PenalizedLatencyUs(stats, params.typical_us);
  return FinishModel::FinishUs(
             {.typical_us = params.service_us,
              .slots = std::max<std::uint32_t>(target.info.slots, 1),
              .now = params.now},
             stats) *
         (1 + kFailurePenalty * stats.failure_rate);
}

double PowerOfTwoBalancer::PenalizedLatencyUs(const TargetStats& stats,
                                              double typical_us) {
  const double known = LatencyModel::ExpectedUs(typical_us, stats);
  const double latency = known > 0 ? known : kUnknownLatencyUs;
  return latency * (1 + kFailurePenalty * stats.failure_rate);
}

std::optional<std::uint32_t> PowerOfTwoBalancer::ChooseBetterOfTwo(
    const std::vector<std::uint32_t>& candidates, const Placement& group,
    const ChoiceParams& params, bool require_capacity) {
  if (candidates.empty()) return std::nullopt;
  const GroupView& view = pools_[group.pool].groups[group.group];
  const std::vector<RoutedTarget>& targets =
      routing_->pools[group.pool].groups[group.group].targets;

  // Takes the first usable target from each of two random starting points,
  // which gives two distinct random choices if most targets are usable.
  const auto usable = [&](std::uint32_t index) {
    const std::optional<TargetExclusion> exclusion =
        FindExclusion(targets[index], *view.stats[index], params.now);
    const bool lacks_capacity = exclusion == TargetExclusion::kCold ||
                                exclusion == TargetExclusion::kFull;
    if (exclusion && (require_capacity || !lacks_capacity)) return false;
    const Placement placement{
        .pool = group.pool, .group = group.group, .target = index};
    return std::ranges::find(params.tried, placement) == params.tried.end();
  };
  const std::size_t count = candidates.size();
  const auto first_usable = [&](std::size_t start, std::size_t skip) {
    for (std::size_t step = 0; step < count; ++step) {
      const std::size_t position = (start + step) % count;
      if (position != skip && usable(candidates[position])) return position;
    }
    return count;
  };
  const std::size_t first =
      first_usable(DrawBySpeed(candidates, view, params), count);
  if (first == count) return std::nullopt;
  const std::size_t second =
      first_usable(DrawBySpeed(candidates, view, params), first);
  const auto record = [&](std::uint32_t better) {
    if (params.draws == nullptr) return;
    const auto placement_of = [&group](std::uint32_t index) {
      return Placement{
          .pool = group.pool, .group = group.group, .target = index};
    };
    params.draws->push_back(
        {.first = placement_of(candidates[first]),
         .second = second == count
                       ? std::nullopt
                       : std::optional(placement_of(candidates[second])),
         .better = placement_of(better),
         .own_domain = &candidates == &view.local_domain,
         .with_capacity = require_capacity});
  };
  const std::uint32_t left = candidates[first];
  if (second == count) {
    record(left);
    return left;
  }
  const std::uint32_t right = candidates[second];
  // Two targets without a recent report are compared by own statistics.
  ChoiceParams compared = params;
  if (!HasRecentReport(*view.stats[left], params.now) &&
      !HasRecentReport(*view.stats[right], params.now))
    compared.service_us = 0;
  const bool keep_left = Cost(targets[left], *view.stats[left], compared) <=
                         Cost(targets[right], *view.stats[right], compared);
  const std::uint32_t better = keep_left ? left : right;
  record(better);
  return better;
}

std::size_t PowerOfTwoBalancer::DrawBySpeed(
    const std::vector<std::uint32_t>& candidates, const GroupView& view,
    const ChoiceParams& params) {
  std::size_t position = random_() % candidates.size();
  if (params.service_us == 0) return position;
  // Draws again with a probability that falls with the speed of the target, so
  // that the arrivals follow the speeds even where the load is not known. The
  // cost does not depend on the number of targets.
  std::uniform_real_distribution<double> draw(0, kMaxRelativeSpeed);
  for (int redraw = 0; redraw < kMaxRedraws; ++redraw) {
    const TargetStats& stats = *view.stats[candidates[position]];
    const double speed = 1 / FinishModel::RelativeService(stats, params.now);
    if (draw(random_) * (1 + kFailurePenalty * stats.failure_rate) < speed)
      break;
    position = random_() % candidates.size();
  }
  return position;
}

double PowerOfTwoBalancer::Cost(const RoutedTarget& target,
                                const TargetStats& stats,
                                const ChoiceParams& params) const {
  if (params.service_us > 0)
    return ExpectedUs(target, stats, params) /
           SlowStartFactor(stats, params.now);
  const double slots = std::max<double>(target.info.slots, 1);
  const double queue = (stats.in_flight + 1) / slots;
  return queue * PenalizedLatencyUs(stats, params.typical_us) /
         SlowStartFactor(stats, params.now);
}

double PowerOfTwoBalancer::SlowStartFactor(const TargetStats& stats,
                                           MonoTime now) const {
  const double age = std::chrono::duration<double>(now - stats.first_seen) /
                     std::chrono::duration<double>(options_.slow_start);
  return std::clamp(age, kMinSlowStartFactor, 1.0);
}

std::optional<TargetExclusion> PowerOfTwoBalancer::FindExclusion(
    const RoutedTarget& target, const TargetStats& stats, MonoTime now) {
  if (stats.leaving) return TargetExclusion::kLeaving;
  if (stats.ejected_until > now) return TargetExclusion::kEjected;
  if (stats.cold_per_second > 0 && ColdTokens(stats, now) < 1)
    return TargetExclusion::kCold;
  if (stats.full_until > now || stats.in_flight >= target.info.slots)
    return TargetExclusion::kFull;
  return std::nullopt;
}

bool PowerOfTwoBalancer::HasRoom(const RoutedTarget& target,
                                 const TargetStats& stats, MonoTime now) const {
  if (stats.cold_per_second > 0 || FindExclusion(target, stats, now))
    return false;
  const bool reported = stats.reported_service_us > 0 &&
                        now - stats.load_reported_at <= kMaxLoadAge;
  return !reported || stats.reported_load < target.info.slots;
}

const TargetStats* PowerOfTwoBalancer::FindStats(const TargetId& target) const {
  const auto found = stats_.find(target);
  return found == stats_.end() ? nullptr : &found->second;
}

Microseconds PowerOfTwoBalancer::ExpectedLatency(const RouteName& route,
                                                 const TargetId& target) const {
  const TargetStats* stats = FindStats(target);
  if (stats == nullptr) return Microseconds(0);
  return Microseconds(static_cast<std::int64_t>(
      LatencyModel::ExpectedUs(latency_.TypicalUs(route), *stats)));
}

double PowerOfTwoBalancer::RelativeLatency(const TargetId& target,
                                           MonoTime now) const {
  const TargetStats* stats = FindStats(target);
  if (stats == nullptr) return 1;
  const double reported = FinishModel::RelativeService(*stats, now);
  const bool observed = stats->slowness_samples >= kMinSlownessSamples;
  return reported == 1 && observed ? stats->slowness : reported;
}

void PowerOfTwoBalancer::OnLeaving(const TargetId& target) {
  const auto found = stats_.find(target);
  if (found != stats_.end()) found->second.leaving = true;
}

void PowerOfTwoBalancer::OnSent(const TargetId& target) {
  const auto found = stats_.find(target);
  if (found == stats_.end()) return;
  ++found->second.in_flight;
  ++found->second.sent_since_report;
}

void PowerOfTwoBalancer::OnReport(const RouteName& route,
                                  const TargetId& target,
                                  const LoadReport& report, MonoTime now) {
  const auto found = stats_.find(target);
  if (found != stats_.end()) finish_.Record(route, found->second, report, now);
}

void PowerOfTwoBalancer::OnEnded(const RequestInfo& request,
                                 RequestOutcome outcome, Microseconds latency,
                                 MonoTime now) {
  const auto found = stats_.find(*request.target);
  if (found == stats_.end()) return;
  TargetStats& stats = found->second;
  if (stats.in_flight > 0) --stats.in_flight;
  switch (outcome) {
    case RequestOutcome::kCancelled:
      return;
    case RequestOutcome::kRefused: {
      const std::uint32_t doublings =
          std::min(stats.consecutive_refusals++, kMaxDoublings);
      stats.full_until =
          now + std::min(kInitialRefusalBackoff * (1U << doublings),
                         kMaxRefusalBackoff);
      return;
    }
    case RequestOutcome::kSuccess:
      latency_.Record(*request.route, stats, latency);
      stats.failure_rate -= kFailureWeight * stats.failure_rate;
      stats.consecutive_failures = 0;
      stats.consecutive_refusals = 0;
      if (stats.failure_rate < kFailureWeight) stats.ejections = 0;
      return;
    case RequestOutcome::kError:
    case RequestOutcome::kTimeout:
    case RequestOutcome::kTargetDied:
      stats.failure_rate += kFailureWeight * (1 - stats.failure_rate);
      ++stats.consecutive_failures;
      outliers_.OnFailure(stats, CountPool(*request.pool, now), now);
      return;
  }
}

OutlierDetector::PoolCount PowerOfTwoBalancer::CountPool(const PoolName& pool,
                                                         MonoTime now) const {
  OutlierDetector::PoolCount count;
  for (std::size_t index = 0; index < pools_.size(); ++index) {
    const PoolSpec& spec = routing_->pools[index].spec;
    if (spec.name != pool) continue;
    count.targets = pools_[index].targets;
    count.max_percent = spec.max_ejected_percent;
    for (const GroupView& group : pools_[index].groups) {
      count.ejected += static_cast<std::size_t>(
          std::ranges::count_if(group.stats, [now](const TargetStats* stats) {
            return stats->ejected_until > now;
          }));
    }
  }
  return count;
}

}  // namespace camphor

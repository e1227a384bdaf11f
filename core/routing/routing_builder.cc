#include "core/routing/routing_builder.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphor {
namespace {

constexpr std::uint32_t kWhole = 1'000'000;
constexpr std::size_t kDeathsOfPoison = 2;

/// Share of the new version that the replicated state allows.
std::uint32_t ShareOfNewVersion(const RoutingInputs& inputs,
                                const PoolSpec& pool) {
  if (inputs.locally_ejected.contains({pool.name, pool.rollout->version})) {
    return 0;
  }
  const auto found = inputs.rollouts.find(RolloutIdOf(pool));
  if (found == inputs.rollouts.end()) return 0;
  const RolloutRecord& record = found->second;
  if (record.stage == RolloutStage::kPending ||
      record.stage == RolloutStage::kRolledBack) {
    return 0;
  }
  return std::min(record.share_ppm, kWhole);
}

/// Targets of one version on the hosts that `accepts` takes.
template <typename Accepts>
std::vector<RoutedTarget> TargetsOf(const RoutingInputs& inputs,
                                    const PoolName& pool,
                                    const TargetVersion& version,
                                    const Accepts& accepts) {
  std::vector<RoutedTarget> targets;
  for (const auto& [id, host] : inputs.hosts) {
    if (!accepts(host.status)) continue;
    for (const TargetInfo& info : host.targets) {
      if (info.pool != pool || info.version != version ||
          info.status == TargetStatus::kLeaving) {
        continue;
      }
      targets.push_back({.info = info,
                         .host = id,
                         .domain = host.domain,
                         .forward = host.forward,
                         .local = id == inputs.self});
    }
  }
  std::ranges::sort(targets, {}, [](const RoutedTarget& target) {
    return std::tie(target.info.id, target.host);
  });
  return targets;
}

VersionGroup GroupOf(const RoutingInputs& inputs, const PoolName& pool,
                     const TargetVersion& version, std::uint32_t share_ppm) {
  std::vector<RoutedTarget> alive =
      TargetsOf(inputs, pool, version,
                [](HostStatus status) { return status == HostStatus::kAlive; });
  std::vector<RoutedTarget> possible =
      TargetsOf(inputs, pool, version, [](HostStatus status) {
        return status == HostStatus::kAlive || status == HostStatus::kSuspect;
      });
  // When half of a version is suspect, the suspicion itself is doubtful.
  const bool doubtful = alive.size() * 2 < possible.size();
  return {.version = version,
          .share_ppm = share_ppm,
          .targets = std::move(doubtful ? possible : alive)};
}

PoolRouting PoolOf(const RoutingInputs& inputs, const PoolSpec& spec) {
  PoolRouting pool{.spec = spec};
  std::uint32_t share_of_new = 0;
  if (spec.rollout) {
    pool.rollout = RolloutIdOf(spec);
    share_of_new = ShareOfNewVersion(inputs, spec);
  }
  pool.groups.push_back(
      GroupOf(inputs, spec.name, spec.version, kWhole - share_of_new));
  if (spec.rollout) {
    pool.groups.push_back(
        GroupOf(inputs, spec.name, spec.rollout->version, share_of_new));
  }
  return pool;
}

/// True when `left` must be tried before `right`.
bool MatchesBefore(const RouteRule& left, const RouteRule& right) {
  const auto rank = [](const RouteRule& rule) {
    return std::tuple(rule.path_prefix.size(), !rule.host.empty(),
                      !rule.methods.empty());
  };
  if (rank(left) != rank(right)) return rank(left) > rank(right);
  return left.name < right.name;
}

}  // namespace

EffectiveRouting BuildRouting(const RoutingInputs& inputs) {
  EffectiveRouting routing;
  for (const auto& [fingerprint, record] : inputs.poison) {
    if (record.deaths.empty()) continue;
    const bool poison = record.deaths.size() >= kDeathsOfPoison;
    (poison ? routing.poison : routing.suspects).insert(fingerprint);
  }
  if (!inputs.snapshot) return routing;

  routing.head = inputs.snapshot->head;
  for (const PoolSpec& spec : inputs.snapshot->pools) {
    routing.pools.push_back(PoolOf(inputs, spec));
  }
  std::ranges::sort(routing.pools, {},
                    [](const PoolRouting& pool) { return pool.spec.name; });

  // A route is joined to its pool by index, so that it can not lack it.
  for (const RouteRule& rule : inputs.snapshot->routes) {
    const auto pool = std::ranges::lower_bound(
        routing.pools, rule.pool, {},
        [](const PoolRouting& candidate) { return candidate.spec.name; });
    if (pool == routing.pools.end() || pool->spec.name != rule.pool) continue;
    routing.routes.push_back(
        {.rule = rule,
         .pool = static_cast<std::uint32_t>(pool - routing.pools.begin())});
  }
  std::ranges::sort(routing.routes,
                    [](const RoutedRule& left, const RoutedRule& right) {
                      return MatchesBefore(left.rule, right.rule);
                    });
  return routing;
}

RolloutId RolloutIdOf(const PoolSpec& pool) {
  assert(pool.rollout.has_value());
  return RolloutId(
      fmt::format("{}/{}/{}/{}", pool.name.value(), pool.version.value(),
                  pool.rollout->version.value(), pool.rollout->attempt));
}

}  // namespace camphor

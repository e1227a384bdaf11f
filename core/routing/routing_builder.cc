#include "core/routing/routing_builder.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "core/config/rollout_key.h"
#include "core/rollout/rendezvous.h"

namespace camphor {
namespace {

constexpr std::uint32_t kPartsPerMillion = 1'000'000;

/// A target with the host that announced it.
struct AnnouncedTarget {
  const HostRecord* host;
  const TargetInfo* target;
};

/// Targets by pool. Avoids a scan of all hosts for each pool.
using TargetIndex = std::map<PoolName, std::vector<AnnouncedTarget>>;

TargetIndex IndexTargets(const RoutingInputs& inputs) {
  TargetIndex index;
  for (const auto& [id, host] : inputs.hosts) {
    for (const TargetInfo& target : host.targets)
      index[target.pool].push_back({.host = &host, .target = &target});
  }
  return index;
}

/// Returns the rollout record that assigns traffic to the new version of a
/// pool; null if there is none.
const RolloutRecord* FindActiveRollout(const RoutingInputs& inputs,
                                       const PoolSpec& pool) {
  if (!pool.rollout) return nullptr;
  if (inputs.locally_ejected.contains({pool.name, pool.rollout->version})) {
    return nullptr;
  }
  const auto found = inputs.rollouts.find(RolloutKey::FromPool(pool).id());
  if (found == inputs.rollouts.end()) return nullptr;
  const RolloutRecord& record = found->second;
  const bool inactive = record.stage == RolloutStage::kPending ||
                        record.stage == RolloutStage::kRolledBack;
  return inactive ? nullptr : &record;
}

/// Returns the traffic share of the new version on a route: the override for
/// the route if there is one, otherwise the share of the pool.
std::uint32_t NewVersionShare(const RolloutRecord* record,
                              const RouteName& route) {
  if (record == nullptr) return 0;
  const auto found =
      std::ranges::find(record->route_shares, route, &RouteShare::route);
  const bool overridden = found != record->route_shares.end();
  return std::min(overridden ? found->share_ppm : record->share_ppm,
                  kPartsPerMillion);
}

/// Returns the versions that do not belong to the group of a pool without a
/// configured version: the new version of the rollout and all versions that
/// were rolled back.
std::set<TargetVersion> ExcludedVersions(const RoutingInputs& inputs,
                                         const PoolSpec& pool) {
  std::set<TargetVersion> versions;
  if (pool.rollout) versions.insert(pool.rollout->version);
  for (const auto& [id, record] : inputs.rollouts) {
    if (record.stage != RolloutStage::kRolledBack) continue;
    const std::optional<RolloutKey> key = RolloutKey::Parse(id);
    if (key && key->pool == pool.name) versions.insert(key->to);
  }
  return versions;
}

/// Returns a predicate for the versions of a group: the given version, or all
/// versions that are not excluded if it is empty.
std::function<bool(const TargetVersion&)> VersionFilter(
    const RoutingInputs& inputs, const PoolSpec& pool,
    const TargetVersion& version) {
  if (!version.empty())
    return [version](const TargetVersion& candidate) {
      return candidate == version;
    };
  return [excluded =
              ExcludedVersions(inputs, pool)](const TargetVersion& candidate) {
    return !candidate.empty() && !excluded.contains(candidate);
  };
}

/// Collects the targets that satisfy the predicates on the host status and on
/// the target version. Omits targets that are leaving, and those of evacuated
/// failure domains.
template <typename HostPredicate, typename VersionPredicate>
std::vector<RoutedTarget> CollectTargets(
    const RoutingInputs& inputs, const std::vector<AnnouncedTarget>& announced,
    const VersionPredicate& accepts_version,
    const HostPredicate& accepts_host) {
  std::vector<RoutedTarget> targets;
  for (const auto& [host, target] : announced) {
    if (!accepts_host(host->status) || !accepts_version(target->version) ||
        target->status == TargetStatus::kLeaving ||
        std::ranges::binary_search(inputs.snapshot->evacuated_domains,
                                   host->domain)) {
      continue;
    }
    targets.push_back({.info = *target,
                       .host = host->host,
                       .domain = host->domain,
                       .forward = host->forward,
                       .local = host->host == inputs.self});
  }
  std::ranges::sort(targets, {}, [](const RoutedTarget& target) {
    return std::tie(target.info.id, target.host);
  });
  return targets;
}

VersionGroup BuildGroup(const RoutingInputs& inputs, const TargetIndex& index,
                        const PoolSpec& pool, const TargetVersion& version,
                        std::uint32_t share_ppm) {
  VersionGroup group{.version = version, .share_ppm = share_ppm};
  const auto announced = index.find(pool.name);
  if (announced == index.end()) return group;
  const auto accepts_version = VersionFilter(inputs, pool, version);
  std::vector<RoutedTarget> alive = CollectTargets(
      inputs, announced->second, accepts_version,
      [](HostStatus status) { return status == HostStatus::kAlive; });
  std::vector<RoutedTarget> alive_or_suspect = CollectTargets(
      inputs, announced->second, accepts_version, [](HostStatus status) {
        return status == HostStatus::kAlive || status == HostStatus::kSuspect;
      });
  // If more than half of the targets of a version are suspect, the failure
  // detection itself is likely wrong, and suspect hosts stay in use.
  const bool include_suspects = alive.size() * 2 < alive_or_suspect.size();
  group.targets = std::move(include_suspects ? alive_or_suspect : alive);
  return group;
}

PoolRouting BuildPool(const RoutingInputs& inputs, const TargetIndex& index,
                      const PoolSpec& spec) {
  PoolRouting pool{.spec = spec};
  const RolloutRecord* record = FindActiveRollout(inputs, spec);
  const std::uint32_t new_share_ppm =
      record == nullptr ? 0 : std::min(record->share_ppm, kPartsPerMillion);
  pool.groups.push_back(BuildGroup(inputs, index, spec, spec.version,
                                   kPartsPerMillion - new_share_ppm));
  if (!spec.rollout) return pool;
  pool.rollout = RolloutKey::FromPool(spec).id();
  VersionGroup group =
      BuildGroup(inputs, index, spec, spec.rollout->version, new_share_ppm);
  if (record != nullptr) {
    group.targets = ChooseTargets(pool.rollout, std::move(group.targets),
                                  record->canary_targets);
  }
  pool.groups.push_back(std::move(group));
  return pool;
}

/// Returns true if `left` is matched before `right`.
bool HasPrecedence(const RouteRule& left, const RouteRule& right) {
  const auto rank = [](const RouteRule& rule) {
    return std::tuple(rule.path_prefix.size(), !rule.host.empty(),
                      !rule.methods.empty());
  };
  if (rank(left) != rank(right)) return rank(left) > rank(right);
  return left.name < right.name;
}

/// Resolves the pool name of a share to an index; std::nullopt if there is no
/// such pool.
std::optional<RoutedShare> ResolveShare(const RoutingInputs& inputs,
                                        const EffectiveRouting& routing,
                                        const RouteRule& rule,
                                        const PoolShare& share) {
  const auto pool = std::ranges::lower_bound(
      routing.pools, share.pool, {},
      [](const PoolRouting& candidate) { return candidate.spec.name; });
  if (pool == routing.pools.end() || pool->spec.name != share.pool)
    return std::nullopt;
  return RoutedShare{
      .pool = static_cast<std::uint32_t>(pool - routing.pools.begin()),
      .weight = share.weight,
      .new_share_ppm =
          NewVersionShare(FindActiveRollout(inputs, pool->spec), rule.name)};
}

}  // namespace

EffectiveRouting BuildRouting(const RoutingInputs& inputs) {
  EffectiveRouting routing;
  for (const auto& [fingerprint, record] : inputs.poison) {
    if (record.deaths.empty()) continue;
    const bool blocked = record.BlockedUntil() > inputs.wall_now;
    (blocked ? routing.poison : routing.suspects).insert(fingerprint);
  }
  const auto alive = std::ranges::count_if(inputs.hosts, [](const auto& entry) {
    return entry.second.status == HostStatus::kAlive;
  });
  routing.hosts = std::max<std::size_t>(1, static_cast<std::size_t>(alive));
  if (!inputs.snapshot) return routing;

  routing.head = inputs.snapshot->head;
  routing.evacuated_domains = inputs.snapshot->evacuated_domains;
  const TargetIndex index = IndexTargets(inputs);
  for (const PoolSpec& spec : inputs.snapshot->pools) {
    routing.pools.push_back(BuildPool(inputs, index, spec));
  }
  std::ranges::sort(routing.pools, {},
                    [](const PoolRouting& pool) { return pool.spec.name; });

  // Routes refer to their pools by index. A route without its pool is omitted.
  routing.limits = inputs.snapshot->limits;
  if (!inputs.snapshot->teams.empty())
    routing.teams = {inputs.snapshot, &inputs.snapshot->teams};
  for (const RouteRule& rule : inputs.snapshot->routes) {
    const std::optional<RoutedShare> main =
        ResolveShare(inputs, routing, rule, {.pool = rule.pool});
    if (!main) continue;
    RoutedRule routed{.rule = {inputs.snapshot, &rule},
                      .pool = main->pool,
                      .new_share_ppm = main->new_share_ppm};
    for (const PoolShare& share : rule.split) {
      const auto resolved = ResolveShare(inputs, routing, rule, share);
      if (resolved) routed.split.push_back(*resolved);
    }
    routing.routes.push_back(std::move(routed));
  }
  std::ranges::sort(routing.routes,
                    [](const RoutedRule& left, const RoutedRule& right) {
                      return HasPrecedence(*left.rule, *right.rule);
                    });
  return routing;
}

}  // namespace camphor

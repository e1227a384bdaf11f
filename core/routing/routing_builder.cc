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

constexpr std::uint32_t kWhole = 1'000'000;
constexpr std::size_t kDeathsOfPoison = 2;

/// A target and the host that announced it.
struct Announced {
  const HostRecord* host;
  const TargetInfo* target;
};

/// Targets by their pool: every pool is looked up, and hosts are many.
using TargetIndex = std::map<PoolName, std::vector<Announced>>;

TargetIndex IndexTargets(const RoutingInputs& inputs) {
  TargetIndex index;
  for (const auto& [id, host] : inputs.hosts) {
    for (const TargetInfo& target : host.targets)
      index[target.pool].push_back({.host = &host, .target = &target});
  }
  return index;
}

/// The record that gives the new version of a pool a share; null when there is
/// none, or none that does.
const RolloutRecord* RecordOf(const RoutingInputs& inputs,
                              const PoolSpec& pool) {
  if (!pool.rollout) return nullptr;
  if (inputs.locally_ejected.contains({pool.name, pool.rollout->version})) {
    return nullptr;
  }
  const auto found = inputs.rollouts.find(RolloutKey::FromPool(pool).id());
  if (found == inputs.rollouts.end()) return nullptr;
  const RolloutRecord& record = found->second;
  const bool narrow = record.stage == RolloutStage::kPending ||
                      record.stage == RolloutStage::kRolledBack;
  return narrow ? nullptr : &record;
}

/// Share of the new version on one route, which may differ from the pool's.
std::uint32_t ShareOnRoute(const RolloutRecord* record,
                           const RouteName& route) {
  if (record == nullptr) return 0;
  const auto own =
      std::ranges::find(record->route_shares, route, &RouteShare::route);
  const bool differs = own != record->route_shares.end();
  return std::min(differs ? own->share_ppm : record->share_ppm, kWhole);
}

/// Versions of a pool that its group of unnamed versions leaves out: the one
/// that is ordered, and those that were rolled back.
std::set<TargetVersion> LeftOut(const RoutingInputs& inputs,
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

/// Says which versions a group takes: the one it names, or all that are not
/// left out.
std::function<bool(const TargetVersion&)> MemberOf(
    const RoutingInputs& inputs, const PoolSpec& pool,
    const TargetVersion& version) {
  if (!version.empty())
    return [version](const TargetVersion& runs) { return runs == version; };
  return [left_out = LeftOut(inputs, pool)](const TargetVersion& runs) {
    return !runs.empty() && !left_out.contains(runs);
  };
}

/// Targets of a pool on the hosts that `accepts` takes, of the versions that
/// `serves` takes.
template <typename Accepts, typename Serves>
std::vector<RoutedTarget> TargetsOf(const HostId& self,
                                    const std::vector<Announced>& announced,
                                    const Serves& serves,
                                    const Accepts& accepts) {
  std::vector<RoutedTarget> targets;
  for (const auto& [host, target] : announced) {
    if (!accepts(host->status) || !serves(target->version) ||
        target->status == TargetStatus::kLeaving) {
      continue;
    }
    targets.push_back({.info = *target,
                       .host = host->host,
                       .domain = host->domain,
                       .forward = host->forward,
                       .local = host->host == self});
  }
  std::ranges::sort(targets, {}, [](const RoutedTarget& target) {
    return std::tie(target.info.id, target.host);
  });
  return targets;
}

VersionGroup GroupOf(const RoutingInputs& inputs, const TargetIndex& index,
                     const PoolSpec& pool, const TargetVersion& version,
                     std::uint32_t share_ppm) {
  VersionGroup group{.version = version, .share_ppm = share_ppm};
  const auto announced = index.find(pool.name);
  if (announced == index.end()) return group;
  const auto serves = MemberOf(inputs, pool, version);
  std::vector<RoutedTarget> alive =
      TargetsOf(inputs.self, announced->second, serves,
                [](HostStatus status) { return status == HostStatus::kAlive; });
  std::vector<RoutedTarget> possible =
      TargetsOf(inputs.self, announced->second, serves, [](HostStatus status) {
        return status == HostStatus::kAlive || status == HostStatus::kSuspect;
      });
  // When half of a version is suspect, the suspicion itself is doubtful.
  const bool doubtful = alive.size() * 2 < possible.size();
  group.targets = std::move(doubtful ? possible : alive);
  return group;
}

PoolRouting PoolOf(const RoutingInputs& inputs, const TargetIndex& index,
                   const PoolSpec& spec) {
  PoolRouting pool{.spec = spec};
  const RolloutRecord* record = RecordOf(inputs, spec);
  const std::uint32_t share_of_new =
      record == nullptr ? 0 : std::min(record->share_ppm, kWhole);
  pool.groups.push_back(
      GroupOf(inputs, index, spec, spec.version, kWhole - share_of_new));
  if (!spec.rollout) return pool;
  pool.rollout = RolloutKey::FromPool(spec).id();
  VersionGroup group =
      GroupOf(inputs, index, spec, spec.rollout->version, share_of_new);
  if (record != nullptr) {
    group.targets = ChooseTargets(pool.rollout, std::move(group.targets),
                                  record->canary_targets);
  }
  pool.groups.push_back(std::move(group));
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

/// Joins a route to one pool; nothing when that pool is not there.
std::optional<RoutedShare> Join(const RoutingInputs& inputs,
                                const EffectiveRouting& routing,
                                const RouteRule& rule, const PoolShare& share) {
  const auto pool = std::ranges::lower_bound(
      routing.pools, share.pool, {},
      [](const PoolRouting& candidate) { return candidate.spec.name; });
  if (pool == routing.pools.end() || pool->spec.name != share.pool)
    return std::nullopt;
  return RoutedShare{
      .pool = static_cast<std::uint32_t>(pool - routing.pools.begin()),
      .weight = share.weight,
      .new_share_ppm = ShareOnRoute(RecordOf(inputs, pool->spec), rule.name)};
}

}  // namespace

EffectiveRouting BuildRouting(const RoutingInputs& inputs) {
  EffectiveRouting routing;
  for (const auto& [fingerprint, record] : inputs.poison) {
    if (record.deaths.empty()) continue;
    const bool poison = record.deaths.size() >= kDeathsOfPoison;
    (poison ? routing.poison : routing.suspects).insert(fingerprint);
  }
  const auto alive = std::ranges::count_if(inputs.hosts, [](const auto& entry) {
    return entry.second.status == HostStatus::kAlive;
  });
  routing.hosts = std::max<std::size_t>(1, static_cast<std::size_t>(alive));
  if (!inputs.snapshot) return routing;

  routing.head = inputs.snapshot->head;
  const TargetIndex index = IndexTargets(inputs);
  for (const PoolSpec& spec : inputs.snapshot->pools) {
    routing.pools.push_back(PoolOf(inputs, index, spec));
  }
  std::ranges::sort(routing.pools, {},
                    [](const PoolRouting& pool) { return pool.spec.name; });

  // A route is joined to its pool by index, so that it can not lack it.
  routing.limits = inputs.snapshot->limits;
  for (const RouteRule& rule : inputs.snapshot->routes) {
    const std::optional<RoutedShare> main =
        Join(inputs, routing, rule, {.pool = rule.pool});
    if (!main) continue;
    RoutedRule routed{.rule = {inputs.snapshot, &rule},
                      .pool = main->pool,
                      .new_share_ppm = main->new_share_ppm};
    for (const PoolShare& share : rule.split) {
      const auto joined = Join(inputs, routing, rule, share);
      if (joined) routed.split.push_back(*joined);
    }
    routing.routes.push_back(std::move(routed));
  }
  std::ranges::sort(routing.routes,
                    [](const RoutedRule& left, const RoutedRule& right) {
                      return MatchesBefore(*left.rule, *right.rule);
                    });
  return routing;
}

}  // namespace camphor

#ifndef CAMPHORHILL_CORE_ROUTING_EFFECTIVE_ROUTING_H_
#define CAMPHORHILL_CORE_ROUTING_EFFECTIVE_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/config/caller_limits.h"
#include "core/config/config_head.h"
#include "core/config/pool_spec.h"
#include "core/config/route_rule.h"
#include "core/replication/host_record.h"

namespace camphor {

/// One target as a proxy sees it. Immutable value type.
struct RoutedTarget {
  TargetInfo info;       ///< what its host announced
  HostId host;           ///< host that it runs on
  FailureDomain domain;  ///< failure domain of that host
  Endpoint forward{};  ///< the host's listener for requests from other proxies
  bool local = false;  ///< true when it runs on this host

  auto operator<=>(const RoutedTarget&) const = default;
};

/// One target version of a pool and its part of the traffic. Immutable value
/// type.
struct VersionGroup {
  TargetVersion version;        ///< which version
  std::uint32_t share_ppm = 0;  ///< share of the pool's requests, in
                                ///< millionths; the groups add up to all
  std::vector<RoutedTarget>
      targets{};  ///< targets that may be sent this share, sorted by id; of
                  ///< a new version those that ChooseTargets gives

  auto operator<=>(const VersionGroup&) const = default;
};

/// One pool as a proxy serves it. Immutable value type.
struct PoolRouting {
  PoolSpec spec;                       ///< limits
  RolloutId rollout{};                 ///< rollout under way; empty if none
  std::vector<VersionGroup> groups{};  ///< one or two: the old version first

  auto operator<=>(const PoolRouting&) const = default;
};

/// One pool of a route whose requests are divided. Immutable value type.
struct RoutedShare {
  std::uint32_t pool = 0;           ///< index into EffectiveRouting::pools
  std::uint32_t weight = 0;         ///< its part of the route's requests
  std::uint32_t new_share_ppm = 0;  ///< as RoutedRule::new_share_ppm

  auto operator<=>(const RoutedShare&) const = default;
};

/// One route and the pool that it is joined to. Immutable value type.
struct RoutedRule {
  std::shared_ptr<const RouteRule> rule;  ///< the row of the table, shared with
                                          ///< the snapshot; never null
  std::uint32_t pool = 0;  ///< index into EffectiveRouting::pools; always valid
  std::uint32_t new_share_ppm =
      0;  ///< share of this route's requests for the pool's second group, in
          ///< millionths: the rollout's share for the route
  std::vector<RoutedShare> split{};  ///< not empty: the pools that its requests
                                     ///< are divided among

  auto operator<=>(const RoutedRule&) const = default;
};

/// All that a proxy needs to place a request, published as one immutable value.
///
/// Derived from the configuration snapshot, host records, rollout records and
/// poison records; a route can not point at a pool that is not here, since it
/// holds an index.
struct EffectiveRouting {
  ConfigHead head{};  ///< configuration that this serves
  std::vector<RoutedRule>
      routes{};  ///< in match order: the first that matches wins
  std::vector<PoolRouting> pools{};  ///< sorted by name
  CallerLimits limits{};             ///< what callers may send
  std::set<std::uint64_t> poison{};  ///< fingerprints that are refused
  std::size_t hosts = 1;  ///< hosts that take requests of callers, this one too
  std::set<std::uint64_t> suspects{};  ///< fingerprints that one target died
                                       ///< under: run apart from each other

  auto operator<=>(const EffectiveRouting&) const = default;
};

using EffectiveRoutingPtr = std::shared_ptr<const EffectiveRouting>;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_EFFECTIVE_ROUTING_H_

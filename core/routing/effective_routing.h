#ifndef CAMPHORHILL_CORE_ROUTING_EFFECTIVE_ROUTING_H_
#define CAMPHORHILL_CORE_ROUTING_EFFECTIVE_ROUTING_H_

#include <algorithm>
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
#include "core/config/team_table.h"
#include "core/replication/host_record.h"

namespace camphor {

/// A target together with the host that it runs on. Immutable value type.
struct RoutedTarget {
  TargetInfo info;       ///< as announced by its host
  HostId host;           ///< host running the target
  FailureDomain domain;  ///< failure domain of that host
  Endpoint forward{};  ///< the host's listener for requests from other proxies
  bool local = false;  ///< true if the target runs on this host

  auto operator<=>(const RoutedTarget&) const = default;
};

/// One target version of a pool and its share of the traffic. Immutable value
/// type.
struct VersionGroup {
  TargetVersion version;        ///< version of the targets
  std::uint32_t share_ppm = 0;  ///< share of the pool's requests, in parts per
                                ///< million; the groups add up to 1,000,000
  std::vector<RoutedTarget>
      targets{};  ///< targets that may serve this share, sorted by id; for a
                  ///< new version, the subset selected by ChooseTargets

  auto operator<=>(const VersionGroup&) const = default;
};

/// A pool with its target groups. Immutable value type.
struct PoolRouting {
  PoolSpec spec;                       ///< configuration of the pool
  RolloutId rollout{};                 ///< rollout in progress; empty if none
  std::vector<VersionGroup> groups{};  ///< one or two; the old version first

  auto operator<=>(const PoolRouting&) const = default;
};

/// One weighted pool of a route that splits its requests. Immutable value type.
struct RoutedShare {
  std::uint32_t pool = 0;           ///< index into EffectiveRouting::pools
  std::uint32_t weight = 0;         ///< relative weight of the pool
  std::uint32_t new_share_ppm = 0;  ///< see RoutedRule::new_share_ppm

  auto operator<=>(const RoutedShare&) const = default;
};

/// A route with its resolved pool. Immutable value type.
struct RoutedRule {
  std::shared_ptr<const RouteRule> rule;  ///< configured rule, owned jointly
                                          ///< with the snapshot; never null
  std::uint32_t pool = 0;  ///< index into EffectiveRouting::pools; always valid
  std::uint32_t new_share_ppm =
      0;  ///< share of this route's requests for the pool's second group (the
          ///< new version), in parts per million
  std::vector<RoutedShare> split{};  ///< weighted pools that the requests are
                                     ///< split among; empty: no split

  auto operator<=>(const RoutedRule&) const = default;
};

/// The routing tables of a proxy, published as one immutable value.
///
/// Derived from the configuration snapshot, host records, rollout records and
/// poison records by BuildRouting. Routes refer to pools by index, so that a
/// route cannot refer to a pool that is missing.
struct EffectiveRouting {
  ConfigHead head{};                 ///< configuration that this was built from
  std::vector<RoutedRule> routes{};  ///< in match order: the first match wins
  std::vector<PoolRouting> pools{};  ///< sorted by name
  CallerLimits limits{};             ///< limits on the requests of callers
  std::shared_ptr<const TeamTable>
      teams{};  ///< owned jointly with the snapshot; null: no team is
                ///< configured, and requests need no API key
  std::set<std::uint64_t> poison{};  ///< fingerprints to reject
  std::size_t hosts = 1;  ///< alive hosts that accept requests of callers,
                          ///< including this one
  std::set<std::uint64_t> suspects{};  ///< fingerprints that one target died
                                       ///< under; see DeathTracker
  std::vector<FailureDomain>
      evacuated_domains{};  ///< their targets are in no group; sorted

  /// Returns true if the targets of the domain get no requests. Thread-safe.
  bool IsEvacuated(const FailureDomain& domain) const {
    return std::ranges::binary_search(evacuated_domains, domain);
  }

  auto operator<=>(const EffectiveRouting&) const = default;
};

using EffectiveRoutingPtr = std::shared_ptr<const EffectiveRouting>;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_EFFECTIVE_ROUTING_H_

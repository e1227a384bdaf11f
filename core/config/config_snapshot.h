#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_SNAPSHOT_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_SNAPSHOT_H_

#include <memory>
#include <vector>

#include "core/config/caller_limits.h"
#include "core/config/config_head.h"
#include "core/config/pool_spec.h"
#include "core/config/route_rule.h"
#include "core/config/team_table.h"

namespace camphor {

/// Routes, pools, teams and caller limits of one accepted configuration.
/// Immutable value type, always replaced as a whole.
///
/// Created and validated by ConfigCodec; `head.digest` is the digest of its
/// canonical encoding.
struct ConfigSnapshot {
  ConfigHead head{};                ///< version and digest
  std::vector<RouteRule> routes{};  ///< sorted by name
  std::vector<PoolSpec> pools{};    ///< sorted by name
  CallerLimits limits{};            ///< limits on caller requests
  TeamTable teams{};  ///< if not empty, requests need the API key of a team
  std::vector<FailureDomain>
      evacuated_domains{};  ///< failure domains whose targets get no requests;
                            ///< sorted

  /// Returns the pool with the given name, or nullptr. Thread-safe.
  const PoolSpec* FindPool(const PoolName& name) const;

  auto operator<=>(const ConfigSnapshot&) const = default;
};

using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_SNAPSHOT_H_

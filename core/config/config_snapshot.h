#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_SNAPSHOT_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_SNAPSHOT_H_

#include <memory>
#include <vector>

#include "core/config/caller_limits.h"
#include "core/config/config_head.h"
#include "core/config/pool_spec.h"
#include "core/config/route_rule.h"

namespace camphor {

/// Routes and pools of one accepted configuration, always swapped as a whole.
/// Immutable value type.
///
/// Made by ConfigCodec, which validates it; `head.digest` is the digest of the
/// codec's encoding.
struct ConfigSnapshot {
  ConfigHead head{};                ///< version and digest
  std::vector<RouteRule> routes{};  ///< sorted by name
  std::vector<PoolSpec> pools{};    ///< sorted by name
  CallerLimits limits{};            ///< what callers may send

  /// The pool of the given name, or null. Thread safety: value type.
  const PoolSpec* FindPool(const PoolName& name) const;

  auto operator<=>(const ConfigSnapshot&) const = default;
};

using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_SNAPSHOT_H_

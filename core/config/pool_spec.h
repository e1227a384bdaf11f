#ifndef CAMPHORHILL_CORE_CONFIG_POOL_SPEC_H_
#define CAMPHORHILL_CORE_CONFIG_POOL_SPEC_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// An operator's order to shift a pool from its version to another one.
/// Immutable value type.
///
/// The order either names the time by which the new version must have all the
/// traffic, or says how long it may take until its outcome stands.
struct RolloutSpec {
  TargetVersion version;    ///< the target version that takes over
  WallTime complete_by{};   ///< time by which it must have all the traffic;
                            ///< unused beside `allowed`
  Milliseconds allowed{0};  ///< from the order to its outcome; 0: `complete_by`
                            ///< and `bake` hold
  Seconds bake{
      600};  ///< watched this long at full share before it counts as done
  std::uint64_t attempt =
      1;  ///< raised by the operator to try a rolled-back version again

  auto operator<=>(const RolloutSpec&) const = default;
};

/// One row of the table of pools: which target version stands behind a name,
/// and its limits. Immutable value type. Targets announce themselves; no list
/// of them is kept here.
struct PoolSpec {
  PoolName name;          ///< unique within the table
  TargetVersion version;  ///< the target version that serves; empty: every
                          ///< version but those that are ordered or were
                          ///< rolled back
  std::optional<RolloutSpec>
      rollout{};  ///< the rollout that is under way, if any
  std::uint32_t slots_per_target =
      10;  ///< requests that one target runs at a time
  std::uint32_t connections_per_target =
      100;  ///< connections kept to one target at most
  std::uint32_t queue_per_target =
      20;  ///< requests that wait for a slot of one target at most
  std::uint32_t max_ejected_percent =
      30;  ///< share of the pool that may be ejected as outliers at most

  auto operator<=>(const PoolSpec&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_POOL_SPEC_H_

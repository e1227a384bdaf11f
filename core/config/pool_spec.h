#ifndef CAMPHORHILL_CORE_CONFIG_POOL_SPEC_H_
#define CAMPHORHILL_CORE_CONFIG_POOL_SPEC_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// An operator's order to roll out a new version of a pool. Immutable value
/// type.
///
/// The order sets either a time by which the new version must receive all the
/// traffic, or the time allowed until the outcome of the rollout is final.
struct RolloutSpec {
  TargetVersion version;    ///< the new target version
  WallTime complete_by{};   ///< time by which it must receive all the traffic;
                            ///< unused if `allowed` is set
  Milliseconds allowed{0};  ///< time from the order to the final outcome; 0:
                            ///< `complete_by` and `bake` apply
  Seconds bake{600};  ///< observation time at full share before the rollout is
                      ///< complete
  std::uint64_t attempt = 1;  ///< incremented by the operator to retry a
                              ///< version that was rolled back

  auto operator<=>(const RolloutSpec&) const = default;
};

/// One row of the pools table: the target version that serves the pool, and
/// per-target limits. Immutable value type. Targets register themselves, so
/// they are not listed here.
struct PoolSpec {
  PoolName name;          ///< unique within the table
  TargetVersion version;  ///< the target version that serves; empty: all
                          ///< versions except those that are being rolled out
                          ///< or were rolled back
  std::optional<RolloutSpec> rollout{};  ///< the current rollout, if any
  std::uint32_t slots_per_target = 10;   ///< maximum concurrent requests of a
                                         ///< target
  std::uint32_t connections_per_target =
      100;  ///< maximum open connections to a target
  std::uint32_t queue_per_target =
      20;  ///< maximum requests waiting for a slot of a target
  std::uint32_t max_ejected_percent =
      30;  ///< maximum percentage of targets ejected as outliers
  double cold_requests_per_second =
      0;  ///< rate that a cold target tolerates, from all hosts together; 0:
          ///< unlimited

  auto operator<=>(const PoolSpec&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_POOL_SPEC_H_

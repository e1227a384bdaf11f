#ifndef CAMPHORHILL_CORE_CONFIG_ROLLOUT_KEY_H_
#define CAMPHORHILL_CORE_CONFIG_ROLLOUT_KEY_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "core/base/identifier.h"
#include "core/config/pool_spec.h"

namespace camphor {

/// What names one rollout. Immutable value type.
struct RolloutKey {
  PoolName pool;              ///< pool whose version changes
  TargetVersion from;         ///< version that serves; empty: every other one
  TargetVersion to;           ///< version that takes over
  std::uint64_t attempt = 0;  ///< tells orders of the same versions apart

  /// The id in text, "pool/from/to/attempt". Thread safety: any thread.
  RolloutId id() const;

  /// Reads an id. Returns nothing when it is none. Thread safety: any thread.
  static std::optional<RolloutKey> Parse(const RolloutId& id);

  /// The rollout that a row of the table of pools orders.
  /// @pre pool.rollout is set. Thread safety: any thread.
  static RolloutKey FromPool(const PoolSpec& pool);

  auto operator<=>(const RolloutKey&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_ROLLOUT_KEY_H_

#ifndef CAMPHORHILL_CORE_CONFIG_ROLLOUT_KEY_H_
#define CAMPHORHILL_CORE_CONFIG_ROLLOUT_KEY_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "core/base/identifier.h"
#include "core/config/pool_spec.h"

namespace camphor {

/// Identifies a rollout. Immutable value type.
struct RolloutKey {
  PoolName pool;       ///< pool whose version changes
  TargetVersion from;  ///< version being replaced; empty: every other one
  TargetVersion to;    ///< version being rolled out
  std::uint64_t attempt = 0;  ///< distinguishes orders with equal versions

  /// Returns the text form, "pool/from/to/attempt". Thread-safe.
  RolloutId id() const;

  /// Parses an id as returned by id(). Returns std::nullopt if the format is
  /// invalid. Thread-safe.
  static std::optional<RolloutKey> Parse(const RolloutId& id);

  /// Returns the key of the rollout ordered in a row of the pools table.
  /// Thread-safe.
  /// @pre pool.rollout is set.
  static RolloutKey FromPool(const PoolSpec& pool);

  auto operator<=>(const RolloutKey&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_ROLLOUT_KEY_H_

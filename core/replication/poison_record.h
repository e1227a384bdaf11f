#ifndef CAMPHORHILL_CORE_REPLICATION_POISON_RECORD_H_
#define CAMPHORHILL_CORE_REPLICATION_POISON_RECORD_H_

#include <compare>
#include <cstdint>
#include <set>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// Death of one run of a target. A target that starts again under the same id
/// can die again. Immutable value type.
struct TargetDeath {
  WallTime at{};    ///< when its host noticed the death
  TargetId target;  ///< target that died

  auto operator<=>(const TargetDeath&) const = default;
};

/// Deaths of targets while they ran a certain request (a query of death).
/// Immutable value type.
///
/// From the second death on, the request is blocked for a while. Afterwards it
/// is admitted as a suspect: the next death blocks it again, for twice as long.
struct PoisonRecord {
  std::uint64_t fingerprint = 0;   ///< see RequestFingerprint
  std::set<TargetDeath> deaths{};  ///< the latest ones, oldest first

  /// Returns the latest deaths of both. Commutative, associative, idempotent.
  /// Thread-safe. @pre both have the same fingerprint.
  static PoisonRecord Merge(const PoisonRecord& left,
                            const PoisonRecord& right);

  /// Returns when the request is admitted again; the epoch if a single death
  /// does not suffice to block it. Thread-safe.
  WallTime BlockedUntil() const;

  /// Returns when the record is removed. Thread-safe.
  WallTime Expires() const;

  auto operator<=>(const PoisonRecord&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_POISON_RECORD_H_

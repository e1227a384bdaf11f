#ifndef CAMPHORHILL_CORE_REPLICATION_POISON_RECORD_H_
#define CAMPHORHILL_CORE_REPLICATION_POISON_RECORD_H_

#include <compare>
#include <cstdint>
#include <set>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// Targets that died while they ran a certain request (a query of death).
/// Immutable value type.
struct PoisonRecord {
  std::uint64_t fingerprint =
      0;  ///< hash of the request's route, method, path and body
  std::set<TargetId> deaths{};  ///< targets that died while running it
  WallTime expires{};           ///< removed after this time

  /// Returns the union of the deaths with the later expiry. Commutative,
  /// associative, idempotent. Thread-safe. @pre both have the same fingerprint.
  static PoisonRecord Merge(const PoisonRecord& left,
                            const PoisonRecord& right);

  auto operator<=>(const PoisonRecord&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_POISON_RECORD_H_

#ifndef CAMPHORHILL_CORE_REPLICATION_HOST_RECORD_H_
#define CAMPHORHILL_CORE_REPLICATION_HOST_RECORD_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/config/config_head.h"

namespace camphor {

/// Availability of a target for requests.
enum class TargetStatus : std::uint8_t {
  kWarming,  ///< announced, still in its cold start: gets a small share
  kReady,    ///< gets its normal share
  kLeaving,  ///< gets no new requests
};

/// A target as announced by its own host. Immutable value type.
struct TargetInfo {
  TargetId id;               ///< unique across hosts
  PoolName pool;             ///< pool that it belongs to
  TargetVersion version;     ///< version that it runs
  std::uint32_t slots = 10;  ///< maximum number of concurrent requests
  TargetStatus status = TargetStatus::kReady;  ///< availability

  auto operator<=>(const TargetInfo&) const = default;
};

/// Membership status of a host.
enum class HostStatus : std::uint8_t {
  kAlive,    ///< member of the mesh
  kSuspect,  ///< reported as lost by its watchers; can still refute this
  kLeaving,  ///< draining: gets no new requests
  kDead,     ///< did not refute the suspicion, or has left
};

/// Replicated state of one host. Immutable value type.
///
/// Records are ordered by incarnation, then sequence, then status (the worse
/// one wins), so that a merge keeps the latest state. Only the host itself
/// writes its record, except that watchers may raise the status for the
/// sequence that they have seen; the host refutes that with a higher sequence.
struct HostRecord {
  HostId host;                    ///< host that the record describes
  std::uint64_t incarnation = 0;  ///< increases with each start of the process
  std::uint64_t sequence =
      0;  ///< increases with each change within an incarnation
  HostStatus status = HostStatus::kAlive;  ///< membership status
  FailureDomain domain;                    ///< failure domain of the host
  Endpoint mesh{};                         ///< address of its mesh listener
  Endpoint forward{};  ///< address to which other hosts' proxies forward
                       ///< requests for its targets
  ConfigVersion config_version = 0;   ///< version that it serves
  std::vector<TargetInfo> targets{};  ///< its targets, sorted by id
  bool platform_lost = false;  ///< the platform does not answer its calls

  /// Returns the higher record in the order above. Commutative, associative,
  /// idempotent. Thread-safe. @pre both records are of the same host.
  static HostRecord Merge(const HostRecord& left, const HostRecord& right);

  auto operator<=>(const HostRecord&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_HOST_RECORD_H_

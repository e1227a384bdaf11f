#ifndef CAMPHORHILL_CORE_REPLICATION_HOST_RECORD_H_
#define CAMPHORHILL_CORE_REPLICATION_HOST_RECORD_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/config/config_head.h"

namespace camphor {

/// Whether a target takes work.
enum class TargetStatus : std::uint8_t {
  kWarming,  ///< announced, still in its cold start: gets a small share
  kReady,    ///< takes its normal share
  kLeaving,  ///< gets no new work
};

/// One target as its own host announces it. Immutable value type.
struct TargetInfo {
  TargetId id;               ///< unique across hosts
  PoolName pool;             ///< pool that it belongs to
  TargetVersion version;     ///< version that it runs
  std::uint32_t slots = 10;  ///< requests that it runs at a time
  TargetStatus status = TargetStatus::kReady;  ///< whether it takes work

  auto operator<=>(const TargetInfo&) const = default;
};

/// Whether a host is part of the mesh.
enum class HostStatus : std::uint8_t {
  kAlive,    ///< serves
  kSuspect,  ///< watchers lost it; it may refute
  kLeaving,  ///< drains: no new work
  kDead,     ///< confirmed lost, or left
};

/// What one host says of itself. Immutable value type.
///
/// Order: incarnation, then sequence, then status (the worse one wins), so that
/// a merge keeps the newest word. The host alone writes it, except that
/// watchers may raise the status of the sequence that they saw; the host
/// refutes that with a higher sequence.
struct HostRecord {
  HostId host;                    ///< whose record this is
  std::uint64_t incarnation = 0;  ///< rises with each start of the process
  std::uint64_t sequence = 0;  ///< rises with each change within an incarnation
  HostStatus status = HostStatus::kAlive;  ///< part of the mesh or not
  FailureDomain domain;                    ///< failure domain that it stands in
  Endpoint mesh{};  ///< where other hosts' meshes reach it
  Endpoint
      forward{};  ///< where other hosts' proxies send requests for its targets
  ConfigVersion config_version = 0;   ///< version that it serves
  std::vector<TargetInfo> targets{};  ///< its targets, sorted by id
  bool platform_lost = false;  ///< the platform does not answer its calls

  /// The record that both words agree on: the higher in the order above.
  /// Commutative, associative, idempotent. @pre both are of one host. Thread
  /// safety: any thread.
  static HostRecord Merge(const HostRecord& left, const HostRecord& right);

  auto operator<=>(const HostRecord&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_HOST_RECORD_H_

#ifndef CAMPHORHILL_CORE_REPLICATION_RECORD_HASH_H_
#define CAMPHORHILL_CORE_REPLICATION_RECORD_HASH_H_

#include <cstdint>

#include "core/replication/host_record.h"
#include "core/replication/poison_record.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// Key of a record in repair messages: a hash of its kind and its own key.
/// Thread-safe.
std::uint64_t KeyHash(const HostId& host);
std::uint64_t KeyHash(const RolloutId& rollout);
std::uint64_t KeyHash(std::uint64_t poison_fingerprint);

/// Hash of a record's content; equal records have equal hashes on every host.
/// The served version of a host is not included: it is replicated by
/// AppliedVersions. Thread-safe.
std::uint64_t ContentHash(const HostRecord& record);
std::uint64_t ContentHash(const RolloutRecord& record);
std::uint64_t ContentHash(const PoisonRecord& record);

/// Identifies one incarnation of a host in AppliedVersions. Thread-safe.
std::uint32_t IncarnationHash(const HostId& host, std::uint64_t incarnation);

/// Position of a host in the ring with the given number; the same on every
/// host. Thread-safe.
std::uint64_t RingPosition(const HostId& host, std::uint32_t ring);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_RECORD_HASH_H_

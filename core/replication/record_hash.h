#ifndef CAMPHORHILL_CORE_REPLICATION_RECORD_HASH_H_
#define CAMPHORHILL_CORE_REPLICATION_RECORD_HASH_H_

#include <cstdint>

#include "core/replication/host_record.h"
#include "core/replication/poison_record.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// Key of a record in repair messages: a hash of its kind and its own key.
/// Thread safety: any thread.
std::uint64_t KeyHash(const HostId& host);
std::uint64_t KeyHash(const RolloutId& rollout);
std::uint64_t KeyHash(std::uint64_t poison_fingerprint);

/// Hash of a record's content; equal records hash alike on every host. The
/// version in force does not count: it has its own compact messages. Thread
/// safety: any thread.
std::uint64_t ContentHash(const HostRecord& record);
std::uint64_t ContentHash(const RolloutRecord& record);
std::uint64_t ContentHash(const PoisonRecord& record);

/// Short name of one life of a host, for AppliedVersions. Thread safety: any
/// thread.
std::uint32_t IncarnationHash(const HostId& host, std::uint64_t incarnation);

/// Position of a host in the ring of the given number; equal on every host.
/// Thread safety: any thread.
std::uint64_t RingPosition(const HostId& host, std::uint32_t ring);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_RECORD_HASH_H_

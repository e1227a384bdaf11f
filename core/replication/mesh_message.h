#ifndef CAMPHORHILL_CORE_REPLICATION_MESH_MESSAGE_H_
#define CAMPHORHILL_CORE_REPLICATION_MESH_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/endpoint.h"
#include "core/config/config_head.h"
#include "core/membership/departure_message.h"
#include "core/quota/quota_message.h"
#include "core/replication/host_record.h"
#include "core/replication/poison_record.h"
#include "core/replication/rollout_record.h"
#include "core/rollout/evidence_report.h"

namespace camphor {

/// New or changed records, pushed to overlay neighbours or sent by a repair.
/// Immutable value type.
struct RecordsMessage {
  ConfigHead head{};  ///< head of the current snapshot of the sender
  std::vector<HostRecord> hosts{};        ///< host records
  std::vector<RolloutRecord> rollouts{};  ///< rollout records
  std::vector<PoisonRecord> poison{};     ///< poison records

  auto operator<=>(const RecordsMessage&) const = default;
};

/// Requests the snapshot of a head. Immutable value type.
struct SnapshotRequest {
  ConfigHead head{};  ///< head of the requested snapshot
  ConfigHead
      base{};  ///< head of the snapshot held by the sender; version 0 for none

  auto operator<=>(const SnapshotRequest&) const = default;
};

/// Carries a snapshot, in full or as a delta. Immutable value type.
struct SnapshotReply {
  ConfigHead head{};    ///< head of the resulting snapshot
  ConfigHead base{};    ///< head of the snapshot that the delta applies to;
                        ///< version 0 if `bytes` is a full snapshot
  std::string bytes{};  ///< encoded snapshot or delta

  auto operator<=>(const SnapshotReply&) const = default;
};

/// Liveness and state summary, sent to each overlay neighbour once per period.
/// Immutable value type.
struct Heartbeat {
  ConfigVersion version =
      0;  ///< newest configuration version that the sender holds
  std::uint64_t fingerprint =
      0;  ///< over all its records; equal on hosts whose records agree
  std::uint64_t applied_fingerprint =
      0;                      ///< over the versions that hosts serve
  bool ready = false;         ///< the sender may serve callers
  bool reply_wanted = false;  ///< requests an immediate heartbeat in return

  auto operator<=>(const Heartbeat&) const = default;
};

/// Number of buckets that the records are split into for repair.
inline constexpr std::size_t kSyncBuckets = 64;

/// Starts a repair: one fingerprint for each bucket of the sender's records.
/// Immutable value type.
struct SyncDigest {
  std::vector<std::uint64_t> buckets{};  ///< kSyncBuckets fingerprints

  auto operator<=>(const SyncDigest&) const = default;
};

/// One record of a bucket that differs. Immutable value type.
struct SyncEntry {
  std::uint64_t key = 0;          ///< hash of the record's kind and key
  std::uint64_t fingerprint = 0;  ///< hash of its content

  auto operator<=>(const SyncEntry&) const = default;
};

/// Reply to a SyncDigest: lists the sender's records in the buckets that
/// differ. Immutable value type.
struct SyncEntries {
  std::uint64_t buckets = 0;  ///< bit i is set if bucket i is included
  std::vector<SyncEntry>
      entries{};  ///< all records of the sender in these buckets

  auto operator<=>(const SyncEntries&) const = default;
};

/// Requests records that the sender lacks or holds with different content.
/// Immutable value type.
struct SyncWanted {
  std::vector<std::uint64_t> keys{};  ///< keys as in SyncEntry

  auto operator<=>(const SyncWanted&) const = default;
};

/// Rejects a repair because too many are in progress. Immutable value type.
struct SyncBusy {
  std::uint32_t retry_after_ms = 0;  ///< minimum delay before the next attempt
  std::vector<Endpoint> alternatives{};  ///< other hosts to try

  auto operator<=>(const SyncBusy&) const = default;
};

/// Reports to another watcher that the sender has lost contact with a host, or
/// that it reached the host. Immutable value type.
struct SuspicionReport {
  HostId host;                    ///< host that the report is about
  std::uint64_t incarnation = 0;  ///< watched incarnation
  std::uint64_t sequence = 0;     ///< latest sequence known to the sender
  bool reached = false;  ///< the host answered, so the suspicion is unfounded

  auto operator<=>(const SuspicionReport&) const = default;
};

/// Hosts that serve a version, in a compact form: a version change on all hosts
/// costs four bytes per host instead of a record. Immutable value type.
struct AppliedVersions {
  ConfigVersion version = 0;           ///< minimum version that they serve
  std::vector<std::uint32_t> hosts{};  ///< IncarnationHash of each host

  auto operator<=>(const AppliedVersions&) const = default;
};

/// Asks how old the receiver's knowledge of the configuration is. Immutable
/// value type.
struct FreshnessQuery {
  std::uint64_t sequence = 0;  ///< identifies the query at its sender

  auto operator<=>(const FreshnessQuery&) const = default;
};

/// Reply to a FreshnessQuery: `version` was the newest acknowledged
/// configuration version `age_ms` before the reply was made. Immutable value
/// type.
struct FreshnessReply {
  std::uint64_t sequence = 0;  ///< of the query
  bool known = false;          ///< false: the replier has no proof; the other
                               ///< fields are 0
  std::uint32_t age_ms = 0;    ///< rounded up, in milliseconds
  ConfigVersion version = 0;   ///< newest version to which the age applies
  std::uint32_t next_ms = 0;   ///< time until the replier expects a newer
                               ///< proof, in milliseconds; 0: not known

  auto operator<=>(const FreshnessReply&) const = default;
};

/// Message between two hosts of the mesh.
using MeshMessage =
    std::variant<RecordsMessage, SnapshotRequest, SnapshotReply, EvidenceReport,
                 Heartbeat, SyncDigest, SyncEntries, SyncWanted, SyncBusy,
                 SuspicionReport, AppliedVersions, QuotaReport, QuotaGrants,
                 FreshnessQuery, FreshnessReply, DepartureNotice,
                 DepartureReceipt>;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_MESH_MESSAGE_H_

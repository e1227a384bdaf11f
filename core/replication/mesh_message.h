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
#include "core/replication/host_record.h"
#include "core/replication/poison_record.h"
#include "core/replication/rollout_record.h"
#include "core/rollout/evidence_report.h"

namespace camphor {

/// New or changed records, pushed to overlay neighbours or sent as repair.
/// Immutable value type.
struct RecordsMessage {
  ConfigHead head{};                      ///< newest head that the sender knows
  std::vector<HostRecord> hosts{};        ///< host records
  std::vector<RolloutRecord> rollouts{};  ///< rollout records
  std::vector<PoisonRecord> poison{};     ///< poison records

  auto operator<=>(const RecordsMessage&) const = default;
};

/// Asks for the snapshot of a head. Immutable value type.
struct SnapshotRequest {
  ConfigHead head{};  ///< snapshot that is wanted
  ConfigHead base{};  ///< snapshot that the asker holds; version 0 for none

  auto operator<=>(const SnapshotRequest&) const = default;
};

/// Brings a snapshot, whole or as a delta. Immutable value type.
struct SnapshotReply {
  ConfigHead head{};  ///< snapshot that this gives
  ConfigHead
      base{};  ///< what the delta starts from; version 0 when `bytes` is whole
  std::string bytes{};  ///< encoded snapshot or delta

  auto operator<=>(const SnapshotReply&) const = default;
};

/// Says that the sender lives and how far it is; sent to each overlay neighbour
/// every period. Immutable value type.
struct Heartbeat {
  ConfigVersion version = 0;      ///< newest configuration that it holds
  std::uint64_t fingerprint = 0;  ///< of all its records; equal means in step
  std::uint64_t applied_fingerprint =
      0;                      ///< the same of the versions hosts serve
  bool ready = false;         ///< it may serve callers
  bool reply_wanted = false;  ///< the receiver answers at once

  auto operator<=>(const Heartbeat&) const = default;
};

/// Number of parts that the records are split into for repair.
inline constexpr std::size_t kSyncBuckets = 64;

/// Starts a repair: one fingerprint for each part of the sender's records.
/// Immutable value type.
struct SyncDigest {
  std::vector<std::uint64_t> buckets{};  ///< kSyncBuckets fingerprints

  auto operator<=>(const SyncDigest&) const = default;
};

/// One record of a part that differs. Immutable value type.
struct SyncEntry {
  std::uint64_t key = 0;          ///< hash of the record's kind and key
  std::uint64_t fingerprint = 0;  ///< hash of its content

  auto operator<=>(const SyncEntry&) const = default;
};

/// Answers a SyncDigest: what the sender holds in the parts that differ.
/// Immutable value type.
struct SyncEntries {
  std::uint64_t buckets = 0;         ///< bit i stands for part i
  std::vector<SyncEntry> entries{};  ///< all the sender's records of these

  auto operator<=>(const SyncEntries&) const = default;
};

/// Asks for records that the sender lacks or holds in another form. Immutable
/// value type.
struct SyncWanted {
  std::vector<std::uint64_t> keys{};  ///< keys as in SyncEntry

  auto operator<=>(const SyncWanted&) const = default;
};

/// Refuses a repair for now, since too many are under way. Immutable value
/// type.
struct SyncBusy {
  std::uint32_t retry_after_ms = 0;      ///< wait at least this long
  std::vector<Endpoint> alternatives{};  ///< other hosts to ask

  auto operator<=>(const SyncBusy&) const = default;
};

/// Tells another watcher that the sender lost a host, or that it reached it.
/// Immutable value type.
struct SuspicionReport {
  HostId host;                    ///< whom it is about
  std::uint64_t incarnation = 0;  ///< incarnation that was watched
  std::uint64_t sequence = 0;     ///< sequence that the sender knows
  bool reached = false;           ///< true: it answered, the suspicion is wrong

  auto operator<=>(const SuspicionReport&) const = default;
};

/// Hosts that serve a version, in a compact form: a version change on every
/// host costs four bytes a host instead of a record. Immutable value type.
struct AppliedVersions {
  ConfigVersion version = 0;           ///< version that they serve, at least
  std::vector<std::uint32_t> hosts{};  ///< hash of host id and incarnation

  auto operator<=>(const AppliedVersions&) const = default;
};

/// One typed message between the meshes of two hosts.
using MeshMessage =
    std::variant<RecordsMessage, SnapshotRequest, SnapshotReply, EvidenceReport,
                 Heartbeat, SyncDigest, SyncEntries, SyncWanted, SyncBusy,
                 SuspicionReport, AppliedVersions>;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_MESH_MESSAGE_H_

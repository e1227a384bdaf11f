#ifndef CAMPHORHILL_CORE_REPLICATION_RECORD_STORE_H_
#define CAMPHORHILL_CORE_REPLICATION_RECORD_STORE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/replication/host_record.h"
#include "core/replication/mesh_message.h"
#include "core/replication/poison_record.h"
#include "core/replication/replicator_settings.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// What a merge did.
enum class MergeResult : std::uint8_t {
  kUnchanged,  ///< the record was known
  kChanged,    ///< the record was new, in whole or in part
  kOlder,      ///< the record was behind: its sender lacks ours
};

/// Names one record of any kind.
using RecordKey = std::variant<HostId, RolloutId, std::uint64_t>;

/// All replicated state records of one host, with the fingerprints by which two
/// hosts find out where they differ. No time of its own; one thread.
///
/// Dead hosts and rollouts that the configuration does not name are remembered
/// for a while but count in no fingerprint, so that hosts that forget them at
/// different times still agree.
class RecordStore {
 public:
  explicit RecordStore(const ReplicatorSettings& settings);

  /// Merges a record. Thread safety: one thread.
  MergeResult Merge(const HostRecord& record, MonoTime now);
  MergeResult Merge(const RolloutRecord& record, MonoTime now);
  MergeResult Merge(const PoisonRecord& record);

  /// Raises the version that a host serves. Returns true when it was lower.
  bool SetApplied(std::uint32_t incarnation_hash, ConfigVersion version);

  /// One fingerprint over the versions that live hosts serve.
  std::uint64_t applied_fingerprint() const { return applied_; }

  /// The versions that live hosts serve, grouped.
  std::vector<AppliedVersions> CollectApplied() const;

  /// Tells which rollouts the configuration in force names.
  void SetActiveRollouts(std::set<RolloutId> active, MonoTime now);

  /// Forgets what has expired. Returns true when a poison record went.
  bool Expire(MonoTime now, WallTime wall_now);

  /// One fingerprint over everything.
  std::uint64_t fingerprint() const;

  /// Fingerprints of the parts.
  const std::array<std::uint64_t, kSyncBuckets>& buckets() const {
    return buckets_;
  }

  /// What stands in the parts whose bit is set.
  std::vector<SyncEntry> EntriesOf(std::uint64_t bucket_bits) const;

  /// The record of a key, added to the message; nothing when it is gone.
  void Collect(const RecordKey& key, RecordsMessage& out) const;

  /// The key behind a key hash, if it is known and counts.
  std::optional<RecordKey> FindKey(std::uint64_t key_hash) const;

  /// Content hash that counts for a key hash; nothing when there is none.
  std::optional<std::uint64_t> FindContent(std::uint64_t key_hash) const;

  /// The host of a mesh endpoint, or null.
  const HostRecord* FindHost(const Endpoint& mesh) const;

  /// The record of a host, or null.
  const HostRecord* FindHost(const HostId& host) const;

  const std::map<HostId, HostRecord>& hosts() const { return hosts_; }
  const std::map<RolloutId, RolloutRecord>& rollouts() const {
    return rollouts_;
  }
  const std::map<std::uint64_t, PoisonRecord>& poison() const {
    return poison_;
  }

 private:
  struct Indexed {
    RecordKey key{};
    std::uint64_t content = 0;
  };

  void Index(std::uint64_t key_hash, const RecordKey& key,
             std::optional<std::uint64_t> content);
  void MixApplied(const HostRecord& record);
  void IndexRollout(const RolloutRecord& record, MonoTime now);
  void IndexHost(const HostRecord& record, MonoTime now);
  void ForgetDeadHosts(MonoTime now);
  void ForgetInactiveRollouts(MonoTime now);

  const ReplicatorSettings& settings_;
  std::map<HostId, HostRecord> hosts_;
  std::map<RolloutId, RolloutRecord> rollouts_;
  std::map<std::uint64_t, PoisonRecord> poison_;
  std::set<RolloutId> active_rollouts_;
  std::map<HostId, MonoTime> dead_since_;
  std::map<RolloutId, MonoTime> inactive_since_;
  std::map<Endpoint, HostId> by_endpoint_;
  std::unordered_map<std::uint32_t, HostId> by_incarnation_;
  std::unordered_map<std::uint64_t, Indexed> index_;
  std::array<std::uint64_t, kSyncBuckets> buckets_{};
  std::uint64_t applied_ = 0;
  WallTime wall_now_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_RECORD_STORE_H_

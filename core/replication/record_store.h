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

/// Outcome of a merge.
enum class MergeResult : std::uint8_t {
  kUnchanged,  ///< the record brought nothing new
  kChanged,    ///< the stored record was added or updated
  kOlder,      ///< the stored record is newer than the one received
};

/// Key of a record of any kind; the integer is the fingerprint of a poison
/// record.
using RecordKey = std::variant<HostId, RolloutId, std::uint64_t>;

/// All replicated state records held by this host, with the fingerprints by
/// which two hosts detect differences.
///
/// Dead hosts and rollouts that the configuration does not list are kept for a
/// while but are excluded from all fingerprints, so that hosts that remove them
/// at different times still agree. Takes the current time as a parameter. Must
/// be used from one thread.
class RecordStore {
 public:
  /// @pre `settings` outlives this object.
  explicit RecordStore(const ReplicatorSettings& settings);

  /// Merges a record into the store.
  MergeResult Merge(const HostRecord& record, MonoTime now);
  MergeResult Merge(const RolloutRecord& record, MonoTime now);
  MergeResult Merge(const PoisonRecord& record);

  /// Raises the version that a host serves. Returns false if the host is
  /// unknown or the version is not higher.
  bool SetApplied(std::uint32_t incarnation_hash, ConfigVersion version);

  /// Fingerprint over the versions that live hosts serve.
  std::uint64_t applied_fingerprint() const { return applied_fingerprint_; }

  /// Versions that live hosts serve, one message per version.
  std::vector<AppliedVersions> CollectApplied() const;

  /// Sets the rollouts that the served configuration lists.
  void SetActiveRollouts(std::set<RolloutId> active, MonoTime now);

  /// Removes expired records. Returns true if a poison record was removed.
  bool Expire(MonoTime now, WallTime wall_now);

  /// Fingerprint over all records, without the versions that hosts serve.
  std::uint64_t fingerprint() const;

  /// Fingerprint of each bucket.
  const std::array<std::uint64_t, kSyncBuckets>& buckets() const {
    return buckets_;
  }

  /// Entries of all buckets whose bit is set in the mask.
  std::vector<SyncEntry> CollectEntries(std::uint64_t bucket_mask) const;

  /// Appends the record with the given key to the message; no effect if it does
  /// not exist.
  void AppendRecord(const RecordKey& key, RecordsMessage& out) const;

  /// Returns the key with the given hash, or nullopt if it is unknown or
  /// excluded from the fingerprints.
  std::optional<RecordKey> FindKey(std::uint64_t key_hash) const;

  /// Returns the content hash of the record with the given key hash, or nullopt
  /// if it is unknown or excluded from the fingerprints.
  std::optional<std::uint64_t> FindContentHash(std::uint64_t key_hash) const;

  /// Returns the record of the host with the given mesh endpoint, or null.
  const HostRecord* FindHost(const Endpoint& mesh) const;

  /// Returns the record of a host, or null.
  const HostRecord* FindHost(const HostId& host) const;

  const std::map<HostId, HostRecord>& hosts() const { return hosts_; }
  const std::map<RolloutId, RolloutRecord>& rollouts() const {
    return rollouts_;
  }
  const std::map<std::uint64_t, PoisonRecord>& poison() const {
    return poison_;
  }

 private:
  struct IndexEntry {
    RecordKey key{};
    std::uint64_t content = 0;
  };

  void UpdateIndex(std::uint64_t key_hash, const RecordKey& key,
                   std::optional<std::uint64_t> content);
  void ToggleApplied(const HostRecord& record);
  void IndexRollout(const RolloutRecord& record, MonoTime now);
  void IndexHost(const HostRecord& record, MonoTime now);
  void EvictDeadHosts(MonoTime now);
  void EvictInactiveRollouts(MonoTime now);

  const ReplicatorSettings& settings_;
  std::map<HostId, HostRecord> hosts_;
  std::map<RolloutId, RolloutRecord> rollouts_;
  std::map<std::uint64_t, PoisonRecord> poison_;
  std::set<RolloutId> active_rollouts_;
  std::map<HostId, MonoTime> dead_since_;
  std::map<RolloutId, MonoTime> inactive_since_;
  std::map<Endpoint, HostId> by_endpoint_;
  std::unordered_map<std::uint32_t, HostId> by_incarnation_;
  std::unordered_map<std::uint64_t, IndexEntry> index_;
  std::array<std::uint64_t, kSyncBuckets> buckets_{};
  std::uint64_t applied_fingerprint_ = 0;
  WallTime wall_now_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_RECORD_STORE_H_

#include "core/replication/record_store.h"

#include <algorithm>
#include <utility>

#include "core/replication/record_hash.h"

namespace camphor {
namespace {

constexpr unsigned kBucketShift = 58;  // the top 6 bits select the bucket
static_assert(kSyncBuckets == std::size_t{1} << (64 - kBucketShift));

std::size_t BucketIndex(std::uint64_t key_hash) {
  return static_cast<std::size_t>(key_hash >> kBucketShift);
}

// Combines both hashes, so that swapping the contents of two records changes
// the fingerprint.
std::uint64_t Mix(std::uint64_t key_hash, std::uint64_t content) {
  constexpr std::uint64_t kOdd = 0x9E3779B97F4A7C15ULL;
  return (content ^ (key_hash * kOdd)) * kOdd;
}

template <typename Record>
MergeResult ClassifyMerge(const Record& ours, const Record& theirs,
                          const Record& merged) {
  if (merged != ours) return MergeResult::kChanged;
  return merged == theirs ? MergeResult::kUnchanged : MergeResult::kOlder;
}

}  // namespace

RecordStore::RecordStore(const ReplicatorSettings& settings)
    : settings_(settings) {}

MergeResult RecordStore::Merge(const HostRecord& record, MonoTime now) {
  const auto found = hosts_.find(record.host);
  if (found == hosts_.end()) {
    hosts_.emplace(record.host, record);
    IndexHost(record, now);
    ToggleApplied(record);
    return MergeResult::kChanged;
  }
  HostRecord merged = HostRecord::Merge(found->second, record);
  // A change of the served version alone is not pushed as a record.
  HostRecord theirs = record;
  theirs.config_version = merged.config_version;
  HostRecord ours = found->second;
  ours.config_version = merged.config_version;
  const MergeResult result = ClassifyMerge(ours, theirs, merged);
  if (result == MergeResult::kChanged) {
    if (found->second.mesh != merged.mesh)
      by_endpoint_.erase(found->second.mesh);
    by_incarnation_.erase(
        IncarnationHash(record.host, found->second.incarnation));
    IndexHost(merged, now);
  }
  // The first call removes the old state from the fingerprint, the second adds
  // the new one.
  ToggleApplied(found->second);
  ToggleApplied(merged);
  found->second = std::move(merged);
  return result;
}

MergeResult RecordStore::Merge(const RolloutRecord& record, MonoTime now) {
  const auto found = rollouts_.find(record.id);
  if (found == rollouts_.end()) {
    rollouts_.emplace(record.id, record);
    IndexRollout(record, now);
    return MergeResult::kChanged;
  }
  RolloutRecord merged = RolloutRecord::Merge(found->second, record);
  const MergeResult result = ClassifyMerge(found->second, record, merged);
  found->second = std::move(merged);
  if (result == MergeResult::kChanged) IndexRollout(found->second, now);
  return result;
}

MergeResult RecordStore::Merge(const PoisonRecord& record) {
  if (record.Expires() <= wall_now_) return MergeResult::kUnchanged;
  const auto found = poison_.find(record.fingerprint);
  const bool known = found != poison_.end();
  const PoisonRecord merged =
      known ? PoisonRecord::Merge(found->second, record) : record;
  const MergeResult result = known
                                 ? ClassifyMerge(found->second, record, merged)
                                 : MergeResult::kChanged;
  poison_.insert_or_assign(record.fingerprint, merged);
  UpdateIndex(KeyHash(record.fingerprint), record.fingerprint,
              ContentHash(merged));
  return result;
}

bool RecordStore::SetApplied(std::uint32_t incarnation_hash,
                             ConfigVersion version) {
  const auto found = by_incarnation_.find(incarnation_hash);
  if (found == by_incarnation_.end()) return false;
  HostRecord& record = hosts_.at(found->second);
  if (record.config_version >= version) return false;
  ToggleApplied(record);
  record.config_version = version;
  ToggleApplied(record);
  return true;
}

std::vector<AppliedVersions> RecordStore::CollectApplied() const {
  std::map<ConfigVersion, AppliedVersions> by_version;
  for (const auto& [host, record] : hosts_) {
    if (record.status == HostStatus::kDead || record.config_version == 0)
      continue;
    AppliedVersions& message = by_version[record.config_version];
    message.version = record.config_version;
    message.hosts.push_back(IncarnationHash(host, record.incarnation));
  }
  std::vector<AppliedVersions> messages;
  messages.reserve(by_version.size());
  for (auto& [version, message] : by_version)
    messages.push_back(std::move(message));
  return messages;
}

void RecordStore::SetActiveRollouts(std::set<RolloutId> active, MonoTime now) {
  active_rollouts_ = std::move(active);
  for (const auto& [id, record] : rollouts_) IndexRollout(record, now);
}

bool RecordStore::Expire(MonoTime now, WallTime wall_now) {
  wall_now_ = std::max(wall_now_, wall_now);
  EvictDeadHosts(now);
  EvictInactiveRollouts(now);
  return std::erase_if(poison_, [&](const auto& entry) {
           if (entry.second.Expires() > wall_now_) return false;
           UpdateIndex(KeyHash(entry.first), entry.first, std::nullopt);
           return true;
         }) > 0;
}

std::uint64_t RecordStore::fingerprint() const {
  std::uint64_t all = 0;
  for (std::size_t index = 0; index < buckets_.size(); ++index)
    all ^= Mix(index + 1, buckets_[index]);
  return all;
}

std::vector<SyncEntry> RecordStore::CollectEntries(
    std::uint64_t bucket_mask) const {
  std::vector<SyncEntry> entries;
  for (const auto& [key_hash, indexed] : index_) {
    if ((bucket_mask >> BucketIndex(key_hash) & 1U) != 0)
      entries.push_back({.key = key_hash, .fingerprint = indexed.content});
  }
  std::ranges::sort(entries);
  return entries;
}

void RecordStore::AppendRecord(const RecordKey& key,
                               RecordsMessage& out) const {
  if (const HostId* host = std::get_if<HostId>(&key)) {
    const auto found = hosts_.find(*host);
    if (found != hosts_.end()) out.hosts.push_back(found->second);
  } else if (const RolloutId* rollout = std::get_if<RolloutId>(&key)) {
    const auto found = rollouts_.find(*rollout);
    if (found != rollouts_.end()) out.rollouts.push_back(found->second);
  } else {
    const auto found = poison_.find(std::get<std::uint64_t>(key));
    if (found != poison_.end()) out.poison.push_back(found->second);
  }
}

std::optional<RecordKey> RecordStore::FindKey(std::uint64_t key_hash) const {
  const auto found = index_.find(key_hash);
  if (found == index_.end()) return std::nullopt;
  return found->second.key;
}

std::optional<std::uint64_t> RecordStore::FindContentHash(
    std::uint64_t key_hash) const {
  const auto found = index_.find(key_hash);
  if (found == index_.end()) return std::nullopt;
  return found->second.content;
}

const HostRecord* RecordStore::FindHost(const Endpoint& mesh) const {
  const auto found = by_endpoint_.find(mesh);
  return found == by_endpoint_.end() ? nullptr : FindHost(found->second);
}

const HostRecord* RecordStore::FindHost(const HostId& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second;
}

void RecordStore::UpdateIndex(std::uint64_t key_hash, const RecordKey& key,
                              std::optional<std::uint64_t> content) {
  std::uint64_t& bucket = buckets_[BucketIndex(key_hash)];
  const auto found = index_.find(key_hash);
  if (found != index_.end()) bucket ^= Mix(key_hash, found->second.content);
  if (!content) {
    if (found != index_.end()) index_.erase(found);
    return;
  }
  bucket ^= Mix(key_hash, *content);
  index_.insert_or_assign(key_hash,
                          IndexEntry{.key = key, .content = *content});
}

void RecordStore::ToggleApplied(const HostRecord& record) {
  if (record.status == HostStatus::kDead || record.config_version == 0) return;
  applied_fingerprint_ ^= Mix(IncarnationHash(record.host, record.incarnation),
                              record.config_version);
}

void RecordStore::IndexRollout(const RolloutRecord& record, MonoTime now) {
  const bool active = active_rollouts_.contains(record.id);
  UpdateIndex(KeyHash(record.id), record.id,
              active ? std::optional(ContentHash(record)) : std::nullopt);
  if (active)
    inactive_since_.erase(record.id);
  else
    inactive_since_.try_emplace(record.id, now);
}

void RecordStore::IndexHost(const HostRecord& record, MonoTime now) {
  const bool dead = record.status == HostStatus::kDead;
  UpdateIndex(KeyHash(record.host), record.host,
              dead ? std::nullopt : std::optional(ContentHash(record)));
  if (dead)
    dead_since_.try_emplace(record.host, now);
  else
    dead_since_.erase(record.host);
  by_incarnation_.insert_or_assign(
      IncarnationHash(record.host, record.incarnation), record.host);

  // A new host may use the endpoint of a dead one. The record of the dead host
  // must not replace its entry.
  const HostRecord* holder = FindHost(record.mesh);
  if (holder == nullptr || holder->status == HostStatus::kDead || !dead)
    by_endpoint_.insert_or_assign(record.mesh, record.host);
}

void RecordStore::EvictDeadHosts(MonoTime now) {
  std::erase_if(dead_since_, [&](const auto& entry) {
    const auto& [host, since] = entry;
    if (now - since < settings_.dead_record_retention) return false;
    const HostRecord& record = hosts_.at(host);
    const auto endpoint = by_endpoint_.find(record.mesh);
    if (endpoint != by_endpoint_.end() && endpoint->second == host)
      by_endpoint_.erase(endpoint);
    by_incarnation_.erase(IncarnationHash(host, record.incarnation));
    hosts_.erase(host);
    return true;
  });
}

void RecordStore::EvictInactiveRollouts(MonoTime now) {
  std::erase_if(inactive_since_, [&](const auto& entry) {
    const auto& [id, since] = entry;
    if (now - since < settings_.rollout_record_retention) return false;
    rollouts_.erase(id);
    return true;
  });
}

}  // namespace camphor

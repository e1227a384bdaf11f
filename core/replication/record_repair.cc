#include "core/replication/record_repair.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <unordered_map>
#include <utility>

namespace camphor {
namespace {

// Larger repairs are split into several messages, so that heartbeats are not
// delayed behind them.
constexpr std::size_t kRecordsPerMessage = 64;

}  // namespace

RecordRepair::RecordRepair(Options options, const RecordStore& store,
                           const ReplicatorSettings& settings)
    : options_(std::move(options)),
      store_(store),
      admission_(
          {.per_second = static_cast<double>(settings.sync_buckets_per_s),
           .burst = static_cast<double>(settings.sync_buckets_burst)}) {}

void RecordRepair::Start(const Endpoint& peer) {
  ++counters_.started;
  const auto& buckets = store_.buckets();
  options_.send(peer, SyncDigest{.buckets = {buckets.begin(), buckets.end()}});
}

void RecordRepair::OnDigest(const Endpoint& from, const SyncDigest& digest,
                            MonoTime now) {
  if (digest.buckets.size() != kSyncBuckets) return;
  const std::uint64_t differing = DifferingBuckets(digest);
  if (differing == 0) return;
  const double cost = std::popcount(differing);
  if (!admission_.Take(cost, now)) {
    ++counters_.refused;
    const Milliseconds wait = admission_.TimeUntilAvailable(cost);
    options_.send(from, SyncBusy{.retry_after_ms =
                                     static_cast<std::uint32_t>(wait.count()),
                                 .alternatives = options_.alternatives()});
    return;
  }
  ++counters_.answered;
  options_.send(from, SyncEntries{.buckets = differing,
                                  .entries = store_.CollectEntries(differing)});
}

void RecordRepair::OnEntries(const Endpoint& from, const SyncEntries& entries) {
  std::unordered_map<std::uint64_t, std::uint64_t> theirs;
  for (const SyncEntry& entry : entries.entries)
    theirs.emplace(entry.key, entry.fingerprint);

  // Records whose content differs are sent both ways; the merge picks the
  // result.
  std::vector<std::uint64_t> to_send;
  for (const SyncEntry& ours : store_.CollectEntries(entries.buckets)) {
    const auto found = theirs.find(ours.key);
    if (found == theirs.end() || found->second != ours.fingerprint)
      to_send.push_back(ours.key);
  }
  SyncWanted wanted;
  for (const SyncEntry& entry : entries.entries) {
    if (store_.FindContentHash(entry.key) != entry.fingerprint)
      wanted.keys.push_back(entry.key);
  }
  SendRecords(from, to_send);
  if (!wanted.keys.empty()) options_.send(from, wanted);
}

void RecordRepair::OnWanted(const Endpoint& from, const SyncWanted& wanted) {
  SendRecords(from, wanted.keys);
}

std::uint64_t RecordRepair::DifferingBuckets(const SyncDigest& digest) const {
  std::uint64_t differing = 0;
  for (std::size_t index = 0; index < kSyncBuckets; ++index) {
    if (digest.buckets[index] != store_.buckets()[index])
      differing |= std::uint64_t{1} << index;
  }
  return differing;
}

void RecordRepair::SendRecords(const Endpoint& to,
                               const std::vector<std::uint64_t>& keys) {
  for (std::size_t first = 0; first < keys.size();
       first += kRecordsPerMessage) {
    RecordsMessage message{.head = options_.head()};
    const std::size_t last = std::min(keys.size(), first + kRecordsPerMessage);
    for (std::size_t index = first; index < last; ++index) {
      const std::optional<RecordKey> key = store_.FindKey(keys[index]);
      if (key) store_.AppendRecord(*key, message);
    }
    counters_.records +=
        message.hosts.size() + message.rollouts.size() + message.poison.size();
    options_.send(to, message);
  }
}

}  // namespace camphor

#include "core/replication/push_queue.h"

#include <utility>

namespace camphor {

PushQueue::PushQueue(Options options, const RecordStore& store,
                     const ReplicatorSettings& settings)
    : options_(std::move(options)), store_(store), settings_(settings) {}

void PushQueue::Add(const RecordKey& key, const std::optional<Endpoint>& from) {
  // A record changed by two sources goes to all neighbours: neither source has
  // both changes.
  const auto [found, added] = records_.try_emplace(key, from);
  if (!added && found->second != from) found->second = std::nullopt;
}

void PushQueue::AddApplied(std::uint32_t incarnation_hash,
                           ConfigVersion version,
                           const std::optional<Endpoint>& from) {
  Applied applied{.version = version};
  if (from) applied.known_by.insert(*from);
  applied_.insert_or_assign(incarnation_hash, std::move(applied));
}

void PushQueue::MarkAppliedKnown(std::uint32_t incarnation_hash,
                                 ConfigVersion version, const Endpoint& from) {
  const auto found = applied_.find(incarnation_hash);
  if (found != applied_.end() && found->second.version == version)
    found->second.known_by.insert(from);
}

void PushQueue::Flush(MonoTime now) {
  if (!records_.empty() && now >= next_records_) {
    next_records_ = now + settings_.push_period;
    PushRecords();
  }
  if (!applied_.empty() && now >= next_applied_) {
    next_applied_ = now + settings_.applied_period;
    PushApplied();
  }
}

void PushQueue::FlushRecords() {
  if (!records_.empty()) PushRecords();
}

void PushQueue::PushRecords() {
  const std::map<RecordKey, Source> changed = std::exchange(records_, {});
  for (const Endpoint& neighbour : options_.neighbours()) {
    RecordsMessage message{.head = options_.head()};
    for (const auto& [key, from] : changed)
      if (from != neighbour) store_.AppendRecord(key, message);
    const bool empty = message.hosts.empty() && message.rollouts.empty() &&
                       message.poison.empty();
    if (!empty) options_.send(neighbour, message);
  }
}

void PushQueue::PushApplied() {
  const std::map<std::uint32_t, Applied> changed = std::exchange(applied_, {});
  for (const Endpoint& neighbour : options_.neighbours()) {
    std::map<ConfigVersion, AppliedVersions> by_version;
    for (const auto& [hash, applied] : changed) {
      if (applied.known_by.contains(neighbour)) continue;
      AppliedVersions& message = by_version[applied.version];
      message.version = applied.version;
      message.hosts.push_back(hash);
    }
    for (const auto& [version, message] : by_version)
      options_.send(neighbour, message);
  }
}

}  // namespace camphor

#include "node/platform_sync/rollout_archive.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "core/config/rollout_key.h"
#include "core/rollout/rollout_view.h"
#include "node/json/record_json.h"

namespace camphor {
namespace {

constexpr char kTable[] = "rollouts";

bool IsFinal(const RolloutRecord& record) {
  return record.stage == RolloutStage::kDone ||
         record.stage == RolloutStage::kRolledBack;
}

/// Longest time that a request may run on a pool.
Milliseconds LongestRequest(const ConfigSnapshot& snapshot,
                            const PoolName& pool) {
  Milliseconds longest{0};
  for (const RouteRule& rule : snapshot.routes) {
    const bool shares = std::ranges::find(rule.split, pool, &PoolShare::pool) !=
                        rule.split.end();
    if (rule.pool == pool || shares) longest = std::max(longest, rule.timeout);
  }
  return longest;
}

}  // namespace

RolloutArchive::RolloutArchive(Options options)
    : options_(std::move(options)), retry_(options_.first_retry) {}

void RolloutArchive::SetConfig(const ConfigSnapshot& snapshot) {
  std::set<RolloutId> ordered;
  for (const PoolSpec& pool : snapshot.pools) {
    if (!pool.rollout) continue;
    const RolloutId id = RolloutKey::FromPool(pool).id();
    ordered.insert(id);
    const auto [entry, added] = entries_.try_emplace(id);
    entry->second.pool = pool;
    entry->second.longest_request = LongestRequest(snapshot, pool.name);
    // A host that just started knows nothing of what was ordered before.
    if (added && !configured_) entry->second.read_wanted = true;
  }
  configured_ = true;
  std::erase_if(entries_, [&ordered](const auto& entry) {
    return !ordered.contains(entry.first);
  });
}

std::size_t RolloutArchive::unread() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      entries_, [](const auto& entry) { return entry.second.read_wanted; }));
}

void RolloutArchive::Tick(const std::map<RolloutId, RolloutRecord>& records,
                          bool writer, MonoTime now, WallTime wall_now) {
  now_ = now;
  if (Waits(now)) return;
  // A call that is answered at once may change the entries.
  std::vector<RolloutId> wanted;
  for (auto& [id, entry] : entries_) {
    if (MustRead(id, entry, writer, records)) wanted.push_back(id);
  }
  for (const RolloutId& id : wanted) Read(id);
  if (!writer) return;

  std::vector<RolloutRecord> due;
  for (const auto& [id, record] : records) {
    if (!IsFinal(record) || record.recorded) continue;
    if (MayEnd(entries_[id], record)) due.push_back(record);
  }
  for (const auto& [id, entry] : entries_) {
    if (!MustBegin(entry)) continue;
    const auto known = records.find(id);
    if (known != records.end() && IsFinal(known->second)) continue;
    RolloutRecord begun{.id = id, .ordered_at = wall_now};
    if (known != records.end() && known->second.ordered_at > WallTime{})
      begun.ordered_at = known->second.ordered_at;
    due.push_back(std::move(begun));
  }
  for (const RolloutRecord& record : due) Write(record);
}

bool RolloutArchive::MustRead(
    const RolloutId& id, Entry& entry, bool writer,
    const std::map<RolloutId, RolloutRecord>& records) {
  if (entry.pending) return false;
  if (!entry.known_since) entry.known_since = now_;
  const auto record = records.find(id);
  const bool begun =
      record != records.end() && record->second.ordered_at > WallTime{};
  // The writers record the beginning and spread it; others wait for that.
  if (HasBeginning(entry) && !entry.read && !begun &&
      (writer || now_ - *entry.known_since >= options_.unknown)) {
    entry.read_wanted = true;
  }
  return entry.read_wanted;
}

bool RolloutArchive::MayEnd(Entry& entry, const RolloutRecord& record) {
  if (entry.pending || entry.read_wanted) return false;
  if (record.stage != RolloutStage::kDone || !entry.pool) return true;
  // The old targets may end once this is on record: what was sent to them
  // before is let finish.
  if (!entry.done_since) entry.done_since = now_;
  return now_ - *entry.done_since >= options_.handover + entry.longest_request;
}

bool RolloutArchive::HasBeginning(const Entry& entry) {
  return entry.pool && entry.pool->rollout->allowed.count() > 0;
}

bool RolloutArchive::MustBegin(const Entry& entry) {
  return HasBeginning(entry) && entry.read && !entry.read_wanted &&
         !entry.pending && entry.revision == 0;
}

void RolloutArchive::Read(const RolloutId& id) {
  entries_[id].pending = true;
  options_.platform->Read(
      kTable, id.value(), [this, id](const PlatformResponse& answer) {
        options_.post([this, id, answer] { OnAnswer(id, answer); });
      });
}

void RolloutArchive::Write(const RolloutRecord& record) {
  Entry& entry = entries_[record.id];
  entry.pending = true;
  RolloutRecord written = record;
  written.recorded = IsFinal(record);
  TableTransaction transaction;
  if (entry.pool && options_.report)
    transaction = options_.report(*entry.pool, record.stage);
  transaction.conditions.insert(
      transaction.conditions.begin(),
      {.table = kTable, .key = record.id.value(), .revision = entry.revision});
  transaction.writes.insert(transaction.writes.begin(),
                            {.table = kTable,
                             .key = record.id.value(),
                             .value = boost::json::serialize(ToJson(written))});
  options_.platform->Transact(
      transaction, [this, written](const PlatformResponse& answer) {
        options_.post([this, written, answer] { OnWritten(written, answer); });
      });
}

void RolloutArchive::OnAnswer(const RolloutId& id,
                              const PlatformResponse& answer) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.pending = false;
  if (answer.status != PlatformStatus::kOk &&
      answer.status != PlatformStatus::kNotFound) {
    return Failed(id, "read", answer.reason);
  }
  entry.read_wanted = false;
  entry.read = true;
  entry.revision = 0;
  retry_ = options_.first_retry;
  for (const TableRow& row : answer.rows) {
    entry.revision = row.revision;
    std::optional<RolloutRecord> record = ParseRolloutRecord(row.value);
    if (!record.has_value() || record->id != id) {
      Log(LogLevel::kWarning,
          "what the platform holds of a rollout is no record", id, "malformed");
      continue;
    }
    record->recorded = IsFinal(*record);
    Log(LogLevel::kInfo, "the platform holds a record of a rollout", id,
        RolloutStageName(record->stage));
    options_.publish(*record);
  }
}

void RolloutArchive::OnWritten(const RolloutRecord& record,
                               const PlatformResponse& answer) {
  const auto found = entries_.find(record.id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.pending = false;
  switch (answer.status) {
    case PlatformStatus::kOk:
      retry_ = options_.first_retry;
      Log(LogLevel::kInfo, "a rollout was recorded at the platform", record.id,
          RolloutStageName(record.stage));
      // What is written next depends on the row's new revision.
      entry.read_wanted = !IsFinal(record);
      options_.publish(record);
      return;
    case PlatformStatus::kConflict:
    case PlatformStatus::kUnknown:
      // Another host's record stands, or our own after a lost answer.
      Log(LogLevel::kInfo, "a record of a rollout is read back", record.id,
          answer.status == PlatformStatus::kConflict ? "conflict"
                                                     : "no answer");
      entry.read_wanted = true;
      next_try_ = now_ + options_.first_retry;
      if (answer.status == PlatformStatus::kUnknown)
        Failed(record.id, "write", answer.reason);
      return;
    default:
      Failed(record.id, "write", answer.reason);
  }
}

void RolloutArchive::Failed(const RolloutId& id, std::string_view call,
                            const std::string& reason) {
  Log(LogLevel::kWarning, "a record of a rollout waits for the platform", id,
      std::string(call) + ": " + reason);
  next_try_ = now_ + retry_;
  retry_ = std::min(retry_ * 2, options_.last_retry);
}

void RolloutArchive::Log(LogLevel level, std::string_view sentence,
                         const RolloutId& id, std::string_view detail) const {
  if (options_.log == nullptr) return;
  options_.log->Log(level, "rollout", sentence,
                    {{"id", id.value()}, {"detail", std::string(detail)}});
}

}  // namespace camphor

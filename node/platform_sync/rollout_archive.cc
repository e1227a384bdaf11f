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

/// Returns the maximum timeout of all routes to a pool.
Milliseconds MaxRequestTimeout(const ConfigSnapshot& snapshot,
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
    : options_(std::move(options)),
      retry_delay_(options_.initial_retry_delay) {}

void RolloutArchive::SetConfig(const ConfigSnapshot& snapshot) {
  std::set<RolloutId> active;
  for (const PoolSpec& pool : snapshot.pools) {
    if (!pool.rollout) continue;
    const RolloutId id = RolloutKey::FromPool(pool).id();
    active.insert(id);
    const auto [entry, added] = entries_.try_emplace(id);
    entry->second.pool = pool;
    entry->second.max_request_timeout = MaxRequestTimeout(snapshot, pool.name);
    // After a start, rollouts of the first configuration may already have a
    // row.
    if (added && !configured_) entry->second.read_needed = true;
  }
  configured_ = true;
  std::erase_if(entries_, [&active](const auto& entry) {
    return !active.contains(entry.first);
  });
}

std::size_t RolloutArchive::unread() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      entries_, [](const auto& entry) { return entry.second.read_needed; }));
}

void RolloutArchive::Tick(const std::map<RolloutId, RolloutRecord>& records,
                          bool writer, MonoTime now, WallTime wall_now) {
  now_ = now;
  if (InBackoff(now)) return;
  // Collect the IDs first: calls that complete synchronously modify entries_.
  std::vector<RolloutId> to_read;
  for (auto& [id, entry] : entries_) {
    if (NeedsRead(id, entry, writer, records)) to_read.push_back(id);
  }
  for (const RolloutId& id : to_read) Read(id);
  if (!writer) return;

  std::vector<RolloutRecord> due;
  for (const auto& [id, record] : records) {
    if (!IsFinal(record) || record.recorded) continue;
    if (CanRecordOutcome(entries_[id], record)) due.push_back(record);
  }
  for (const auto& [id, entry] : entries_) {
    if (!NeedsStartRecord(entry)) continue;
    const auto known = records.find(id);
    if (known != records.end() && IsFinal(known->second)) continue;
    RolloutRecord started{.id = id, .ordered_at = wall_now};
    if (known != records.end() && known->second.ordered_at > WallTime{})
      started.ordered_at = known->second.ordered_at;
    due.push_back(std::move(started));
  }
  for (const RolloutRecord& record : due) Write(record);
}

bool RolloutArchive::NeedsRead(
    const RolloutId& id, Entry& entry, bool writer,
    const std::map<RolloutId, RolloutRecord>& records) {
  if (entry.pending) return false;
  if (!entry.first_seen) entry.first_seen = now_;
  const auto record = records.find(id);
  const bool started =
      record != records.end() && record->second.ordered_at > WallTime{};
  // Writers write the start record and publish it. Other hosts wait for it and
  // read the row only after a delay.
  if (RequiresStartRecord(entry) && !entry.read && !started &&
      (writer || now_ - *entry.first_seen >= options_.start_read_delay)) {
    entry.read_needed = true;
  }
  return entry.read_needed;
}

bool RolloutArchive::CanRecordOutcome(Entry& entry,
                                      const RolloutRecord& record) {
  if (entry.pending || entry.read_needed) return false;
  if (record.stage != RolloutStage::kDone || !entry.pool) return true;
  // The old targets may be stopped once the outcome is recorded, so wait until
  // the requests already sent to them have finished.
  if (!entry.done_since) entry.done_since = now_;
  return now_ - *entry.done_since >=
         options_.propagation_delay + entry.max_request_timeout;
}

bool RolloutArchive::RequiresStartRecord(const Entry& entry) {
  return entry.pool && entry.pool->rollout->allowed.count() > 0;
}

bool RolloutArchive::NeedsStartRecord(const Entry& entry) {
  return RequiresStartRecord(entry) && entry.read && !entry.read_needed &&
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
    return OnFailure(id, "read", answer.reason);
  }
  entry.read_needed = false;
  entry.read = true;
  entry.revision = 0;
  retry_delay_ = options_.initial_retry_delay;
  for (const TableRow& row : answer.rows) {
    entry.revision = row.revision;
    std::optional<RolloutRecord> record = ParseRolloutRecord(row.value);
    if (!record.has_value() || record->id != id) {
      Log(LogLevel::kWarning, "rollout record at the platform is invalid", id,
          "malformed");
      continue;
    }
    record->recorded = IsFinal(*record);
    Log(LogLevel::kInfo, "rollout record read from the platform", id,
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
      retry_delay_ = options_.initial_retry_delay;
      Log(LogLevel::kInfo, "rollout record written to the platform", record.id,
          RolloutStageName(record.stage));
      // The next write is conditional on the new revision of the row.
      entry.read_needed = !IsFinal(record);
      options_.publish(record);
      return;
    case PlatformStatus::kConflict:
    case PlatformStatus::kUnknown:
      // The row holds a record of another host, or this host's own record if
      // only the response was lost.
      Log(LogLevel::kInfo, "reading back rollout record", record.id,
          answer.status == PlatformStatus::kConflict ? "conflict"
                                                     : "no answer");
      entry.read_needed = true;
      next_call_ = now_ + options_.initial_retry_delay;
      if (answer.status == PlatformStatus::kUnknown)
        OnFailure(record.id, "write", answer.reason);
      return;
    default:
      OnFailure(record.id, "write", answer.reason);
  }
}

void RolloutArchive::OnFailure(const RolloutId& id, std::string_view call,
                               const std::string& reason) {
  Log(LogLevel::kWarning, "rollout record call failed; will retry", id,
      std::string(call) + ": " + reason);
  next_call_ = now_ + retry_delay_;
  retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
}

void RolloutArchive::Log(LogLevel level, std::string_view sentence,
                         const RolloutId& id, std::string_view detail) const {
  if (options_.log == nullptr) return;
  options_.log->Log(level, "rollout", sentence,
                    {{"id", id.value()}, {"detail", std::string(detail)}});
}

}  // namespace camphor

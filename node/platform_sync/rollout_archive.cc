#include "node/platform_sync/rollout_archive.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/routing/routing_builder.h"
#include "node/json/record_json.h"

namespace camphor {
namespace {

constexpr char kTable[] = "rollouts";

bool IsFinal(const RolloutRecord& record) {
  return record.stage == RolloutStage::kDone ||
         record.stage == RolloutStage::kRolledBack;
}

}  // namespace

RolloutArchive::RolloutArchive(Options options)
    : options_(std::move(options)), retry_(options_.first_retry) {}

void RolloutArchive::SetConfig(const ConfigSnapshot& snapshot) {
  unread_.clear();
  for (const PoolSpec& pool : snapshot.pools) {
    if (pool.rollout.has_value()) unread_.insert(RolloutIdOf(pool));
  }
}

void RolloutArchive::Tick(const std::map<RolloutId, RolloutRecord>& records,
                          bool writer, MonoTime now) {
  now_ = now;
  if (Waits(now)) return;
  // A read that fails at once changes the set.
  const std::set<RolloutId> unread = unread_;
  for (const RolloutId& id : unread) {
    if (!pending_.contains(id)) Read(id);
  }
  if (!writer) return;
  for (const auto& [id, record] : records) {
    if (IsFinal(record) && !record.recorded && !pending_.contains(id)) {
      Write(record);
    }
  }
}

void RolloutArchive::Read(const RolloutId& id) {
  pending_.insert(id);
  options_.platform->Read(
      kTable, id.value(), [this, id](const PlatformAnswer& answer) {
        options_.post([this, id, answer] { OnAnswer(id, answer); });
      });
}

void RolloutArchive::Write(const RolloutRecord& record) {
  pending_.insert(record.id);
  RolloutRecord recorded = record;
  recorded.recorded = true;
  const TableTransaction transaction{
      .conditions = {{.table = kTable, .key = record.id.value()}},
      .writes = {{.table = kTable,
                  .key = record.id.value(),
                  .value = boost::json::serialize(ToJson(recorded))}}};
  options_.platform->Transact(transaction, [this, recorded](
                                               const PlatformAnswer& answer) {
    options_.post([this, recorded, answer] { OnWritten(recorded, answer); });
  });
}

void RolloutArchive::OnAnswer(const RolloutId& id,
                              const PlatformAnswer& answer) {
  pending_.erase(id);
  if (answer.status == PlatformStatus::kNotFound) {
    unread_.erase(id);
    retry_ = options_.first_retry;
    return;
  }
  if (answer.status != PlatformStatus::kOk) return Failed();
  unread_.erase(id);
  retry_ = options_.first_retry;
  for (const TableRow& row : answer.rows) {
    std::optional<RolloutRecord> record = ParseRolloutRecord(row.value);
    if (!record.has_value() || record->id != id) continue;
    record->recorded = true;
    options_.publish(*record);
  }
}

void RolloutArchive::OnWritten(const RolloutRecord& record,
                               const PlatformAnswer& answer) {
  pending_.erase(record.id);
  switch (answer.status) {
    case PlatformStatus::kOk:
      retry_ = options_.first_retry;
      options_.publish(record);
      return;
    case PlatformStatus::kConflict:
    case PlatformStatus::kUnknown:
      // Another host's outcome stands, or our own after a lost answer.
      unread_.insert(record.id);
      if (answer.status == PlatformStatus::kUnknown) Failed();
      return;
    default:
      Failed();
  }
}

void RolloutArchive::Failed() {
  next_try_ = now_ + retry_;
  retry_ = std::min(retry_ * 2, options_.last_retry);
}

}  // namespace camphor

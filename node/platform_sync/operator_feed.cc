#include "node/platform_sync/operator_feed.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <utility>

namespace camphor {

OperatorFeed::OperatorFeed(Options options)
    : options_(std::move(options)),
      retry_(options_.retry),
      random_(options_.random_seed) {
  assert(options_.platform && options_.log && options_.decode &&
         options_.on_snapshot && options_.post);
  assert(!options_.boot_now || options_.on_proof);
}

void OperatorFeed::Tick(bool watcher, MonoTime now) {
  now_ = now;
  CompareWithActive();
  if (call_pending_ || now < next_call_) return;
  if (full_read_due_) {
    ReadTable();
  } else if (watcher || proof_due_) {
    Watch(watcher);
  }
}

void OperatorFeed::BeginCall(Milliseconds wait) {
  call_pending_ = true;
  call_started_ = now_;
  if (options_.boot_now) call_started_boot_ = options_.boot_now();
  call_wait_ = wait;
  proof_due_ = false;
}

void OperatorFeed::ReadTable() {
  BeginCall(Milliseconds(0));
  options_.platform->Scan(
      options_.table, "", [this](const PlatformResponse& answer) {
        options_.post([this, answer] { OnAnswer(true, answer); });
      });
}

void OperatorFeed::Watch(bool watcher) {
  // After a failure, an immediate answer tells soonest whether the platform is
  // back.
  const Milliseconds timeout =
      strict_ ? options_.strict_watch_timeout : options_.watch_timeout;
  BeginCall(reachable() && watcher ? timeout : Milliseconds(0));
  options_.platform->Watch(
      options_.table, revision_, call_wait_,
      [this](const PlatformResponse& answer) {
        options_.post([this, answer] { OnAnswer(false, answer); });
      });
}

void OperatorFeed::OnAnswer(bool full_read, const PlatformResponse& answer) {
  call_pending_ = false;
  if (answer.status == PlatformStatus::kCompacted) {
    full_read_due_ = true;
    options_.log->Log(LogLevel::kInfo, "platform",
                      "platform history compacted; reading the whole table",
                      {{"table", options_.table}, {"after", revision_}});
    return;
  }
  if (answer.status != PlatformStatus::kOk) return OnFailure(answer);
  if (!reachable()) {
    options_.log->Log(LogLevel::kInfo, "platform", "platform reachable again",
                      {{"failures", failures_}});
  }
  retry_.Reset();
  failures_ = 0;
  last_answer_ = now_;
  if (full_read) full_read_due_ = false;
  // An answer as of an older revision than the known one is stale, and proves
  // nothing about the time of the call.
  const bool states_revision = full_read || answer.revision > 0;
  const bool stale = states_revision && answer.revision < revision_;
  Merge(full_read, answer);
  if (!stale) ReportProof();
}

void OperatorFeed::ReportProof() {
  if (options_.boot_now) options_.on_proof(call_started_boot_, version_);
}

void OperatorFeed::OnFailure(const PlatformResponse& answer) {
  if (reachable()) {
    options_.log->Log(LogLevel::kWarning, "platform",
                      "platform unreachable; continuing to serve",
                      {{"reason", answer.reason},
                       {"revision", revision_},
                       {"call_ms", AgeMs(call_started_)},
                       {"answer_age_ms", AgeMs(last_answer_)}});
  }
  if (failures_ == 0) failing_since_ = FailingSince();
  last_failure_ = now_;
  ++failures_;
  last_reason_ = answer.reason;
  Milliseconds delay = retry_.Next(random_);
  if (strict_) delay = std::min(delay, options_.strict_max_retry);
  next_call_ = now_ + delay;
}

std::uint64_t OperatorFeed::AgeMs(MonoTime since) const {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(now_ - since).count());
}

MonoTime OperatorFeed::FailingSince() const {
  // A silent platform fails when the call should have been answered, not when
  // the client gave up on it.
  return std::min(now_, call_started_ + call_wait_);
}

bool OperatorFeed::lost(MonoTime now) const {
  return failures_ > 0 && now - failing_since_ >= options_.lost_after &&
         now - last_failure_ < options_.lost_for;
}

void OperatorFeed::Merge(bool full_read, const PlatformResponse& answer) {
  if (full_read && answer.revision < revision_) return OnStaleRead(answer);
  if (full_read) rows_.clear();
  for (const TableRow& row : answer.rows) {
    if (row.removed) {
      rows_.erase(row.key);
      removed_revision_ = std::max(removed_revision_, row.revision);
    } else {
      rows_.insert_or_assign(row.key, row);
    }
  }
  revision_ = std::max(revision_, answer.revision);
  if (!full_read && answer.rows.empty()) return;
  next_call_ = now_ + options_.batch_delay;
  Apply();
}

void OperatorFeed::OnStaleRead(const PlatformResponse& answer) {
  // Older rows under the known revision would hide the changes between them
  // from the watch.
  full_read_due_ = true;
  next_call_ = now_ + options_.batch_delay;
  options_.log->Log(
      LogLevel::kWarning, "platform", "stale table read discarded; will retry",
      {{"revision", answer.revision}, {"known_revision", revision_}});
}

void OperatorFeed::Apply() {
  std::string reason;
  std::optional<ConfigSnapshot> snapshot = options_.decode(rows_, reason);
  if (!reason.empty()) {
    last_reason_ = reason;
    options_.log->Log(LogLevel::kWarning, "platform",
                      snapshot ? "skipped invalid row in the operator table"
                               : "operator table rejected",
                      {{"reason", reason}, {"revision", revision_}});
  }
  if (snapshot) {
    snapshot->head.version =
        std::max(snapshot->head.version, ConfigVersion{removed_revision_});
    version_ = snapshot->head.version;
    options_.on_snapshot(*snapshot);
  }
  snapshot_ = std::move(snapshot);
  compared_head_ = {};
  CompareWithActive();
}

void OperatorFeed::CompareWithActive() {
  if (!options_.active_head || !snapshot_) return;
  const ConfigHead active = options_.active_head();
  if (std::exchange(compared_head_, active) == active) return;
  // A configuration of a later revision than the rows is newer than them.
  if (active.version == 0 || active.digest == snapshot_->head.digest ||
      active.version < snapshot_->head.version || active.version >= revision_) {
    return;
  }
  options_.log->Log(
      LogLevel::kInfo, "platform", "a row of the operator table was removed",
      {{"known_version", active.version}, {"version", revision_}});
  snapshot_->head.version = revision_;
  version_ = revision_;
  options_.on_snapshot(*snapshot_);
}

boost::json::object OperatorFeed::Dump() const {
  return {{"reachable", reachable()},
          {"failures", failures_},
          {"last_reason", last_reason_},
          {"call_pending", call_pending_},
          {"call_started_ms_ago", AgeMs(call_started_)},
          {"answered_ms_ago", AgeMs(last_answer_)},
          {"rows", rows_.size()},
          {"revision", revision_}};
}

}  // namespace camphor

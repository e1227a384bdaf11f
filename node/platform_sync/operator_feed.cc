#include "node/platform_sync/operator_feed.h"

#include <boost/json.hpp>
#include <cassert>
#include <utility>

namespace camphor {

OperatorFeed::OperatorFeed(Options options)
    : options_(std::move(options)),
      retry_(options_.retry),
      random_(options_.random_seed) {
  assert(options_.platform && options_.log && options_.decode &&
         options_.take && options_.post);
}

void OperatorFeed::Tick(bool feeder, MonoTime now) {
  now_ = now;
  if (under_way_ || now < next_) return;
  if (read_whole_) {
    ReadWhole();
  } else if (feeder) {
    Watch();
  }
}

void OperatorFeed::ReadWhole() {
  under_way_ = true;
  options_.platform->Scan(
      options_.table, "", [this](const PlatformResponse& answer) {
        options_.post([this, answer] { OnAnswer(true, answer); });
      });
}

void OperatorFeed::Watch() {
  under_way_ = true;
  options_.platform->Watch(
      options_.table, revision_, options_.watch,
      [this](const PlatformResponse& answer) {
        options_.post([this, answer] { OnAnswer(false, answer); });
      });
}

void OperatorFeed::OnAnswer(bool whole, const PlatformResponse& answer) {
  under_way_ = false;
  if (answer.status == PlatformStatus::kCompacted) {
    read_whole_ = true;
    options_.log->Log(LogLevel::kInfo, "platform",
                      "the platform dropped its history; the table is read "
                      "whole",
                      {{"table", options_.table}, {"after", revision_}});
    return;
  }
  if (answer.status != PlatformStatus::kOk) return OnFailure(answer);
  if (!reachable()) {
    options_.log->Log(LogLevel::kInfo, "platform", "the platform answers again",
                      {{"failures", failures_}});
  }
  retry_.Reset();
  failures_ = 0;
  if (whole) read_whole_ = false;
  Merge(whole, answer);
}

void OperatorFeed::OnFailure(const PlatformResponse& answer) {
  if (reachable()) {
    options_.log->Log(LogLevel::kWarning, "platform",
                      "the platform does not answer; serving goes on",
                      {{"reason", answer.reason}, {"revision", revision_}});
  }
  if (failures_ == 0) failing_since_ = now_;
  last_failure_ = now_;
  ++failures_;
  last_reason_ = answer.reason;
  next_ = now_ + retry_.Next(random_);
}

bool OperatorFeed::lost(MonoTime now) const {
  return failures_ > 0 && now - failing_since_ >= options_.lost_after &&
         now - last_failure_ < options_.lost_for;
}

void OperatorFeed::Merge(bool whole, const PlatformResponse& answer) {
  if (whole) rows_.clear();
  for (const TableRow& row : answer.rows) {
    if (row.removed) {
      rows_.erase(row.key);
    } else {
      rows_.insert_or_assign(row.key, row);
    }
  }
  revision_ = std::max(revision_, answer.revision);
  if (!whole && answer.rows.empty()) return;
  next_ = now_ + options_.gather;
  Apply();
}

void OperatorFeed::Apply() {
  std::string reason;
  const std::optional<ConfigSnapshot> snapshot = options_.decode(rows_, reason);
  if (!reason.empty()) {
    last_reason_ = reason;
    options_.log->Log(LogLevel::kWarning, "platform",
                      snapshot ? "a row of the operator's table was passed over"
                               : "the operator's table was not taken",
                      {{"reason", reason}, {"revision", revision_}});
  }
  if (snapshot) options_.take(*snapshot);
}

boost::json::object OperatorFeed::Dump() const {
  return {{"reachable", reachable()},
          {"failures", failures_},
          {"last_reason", last_reason_},
          {"rows", rows_.size()},
          {"revision", revision_}};
}

}  // namespace camphor

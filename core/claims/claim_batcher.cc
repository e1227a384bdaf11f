#include "core/claims/claim_batcher.h"

#include <algorithm>
#include <utility>

namespace camphor {
namespace {

using Event = ClaimMachine::Event;

Event ToEvent(const BatchResult& result, const ClaimRequest& claim) {
  switch (result.kind) {
    case BatchResult::Kind::kCommitted:
      return Event::kCommitted;
    case BatchResult::Kind::kNotApplied:
      return Event::kNotApplied;
    case BatchResult::Kind::kNoResponse:
      return Event::kNoResponse;
    case BatchResult::Kind::kConflict:
      break;
  }
  const auto held = result.held.find(claim.key);
  if (held == result.held.end()) return Event::kNotApplied;
  return held->second == claim.owner ? Event::kHeldByUs : Event::kHeldByOther;
}

}  // namespace

bool ClaimBatcher::Submit(ClaimRequest claim, MonoTime now) {
  // While the circuit is open, the pending claims are enough to probe the
  // platform.
  if (claims_.size() >= options_.max_pending ||
      (circuit_open() && !claims_.empty())) {
    ++counters_.refused;
    return false;
  }
  ++counters_.claims;
  const std::uint64_t id = claim.id;
  claims_.emplace(id, Claim{.request = std::move(claim),
                            .machine = {},
                            .expires_at = now + options_.decision_timeout});
  queue_.push_back(id);
  return true;
}

std::optional<ClaimBatcher::Batch> ClaimBatcher::NextBatch(MonoTime now) {
  const std::size_t max_in_flight = circuit_open() ? 1 : options_.max_in_flight;
  if (queue_.empty() || now < next_write_ ||
      in_flight_.size() >= max_in_flight) {
    return std::nullopt;
  }
  Batch batch{.number = next_batch_};
  std::deque<std::uint64_t> deferred;
  while (!queue_.empty() && batch.claims.size() < options_.max_batch_size) {
    const std::uint64_t id = queue_.front();
    queue_.pop_front();
    Claim& claim = claims_.at(id);
    // A transaction cannot contain two claims of the same key. Moreover, a key
    // is written by one transaction at a time.
    if (!keys_in_flight_.emplace(claim.request.key, id).second) {
      deferred.push_back(id);
      continue;
    }
    claim.machine.ProcessEvent(Event::kSent);
    in_flight_[batch.number].push_back(id);
    batch.claims.push_back(claim.request);
  }
  queue_.insert(queue_.begin(), deferred.begin(), deferred.end());
  if (batch.claims.empty()) return std::nullopt;
  ++next_batch_;
  ++counters_.writes;
  next_write_ = now + pause_;
  return batch;
}

std::vector<ClaimDecision> ClaimBatcher::OnResult(std::uint64_t number,
                                                  const BatchResult& result,
                                                  MonoTime now) {
  std::vector<ClaimDecision> decisions;
  const auto found = in_flight_.find(number);
  if (found == in_flight_.end()) return decisions;
  const std::vector<std::uint64_t> ids = std::move(found->second);
  in_flight_.erase(found);
  if (result.kind == BatchResult::Kind::kConflict) ++counters_.conflicts;
  AdaptPause(result.kind);
  if (result.kind == BatchResult::Kind::kNotApplied) {
    next_write_ = std::max(next_write_, now + pause_);
  }
  std::erase_if(keys_in_flight_, [&ids](const auto& entry) {
    return std::ranges::find(ids, entry.second) != ids.end();
  });
  for (const std::uint64_t id : ids) {
    const auto claim = claims_.find(id);
    if (claim == claims_.end()) continue;  // already expired
    claim->second.machine.ProcessEvent(ToEvent(result, claim->second.request));
    if (claim->second.machine.ended()) {
      Finish(id, decisions);
    } else {
      queue_.push_back(id);
    }
  }
  return decisions;
}

std::vector<ClaimDecision> ClaimBatcher::Expire(MonoTime now) {
  std::vector<ClaimDecision> decisions;
  while (!claims_.empty() && claims_.begin()->second.expires_at <= now) {
    const std::uint64_t id = claims_.begin()->first;
    claims_.begin()->second.machine.ProcessEvent(Event::kGiveUp);
    std::erase(queue_, id);
    Finish(id, decisions);
  }
  return decisions;
}

std::optional<MonoTime> ClaimBatcher::NextWakeTime() const {
  if (claims_.empty()) return std::nullopt;
  const MonoTime expiry = claims_.begin()->second.expires_at;
  return queue_.empty() ? expiry : std::min(expiry, next_write_);
}

void ClaimBatcher::Finish(std::uint64_t id,
                          std::vector<ClaimDecision>& decisions) {
  decisions.push_back({.id = id, .state = claims_.at(id).machine.state()});
  claims_.erase(id);
}

void ClaimBatcher::AdaptPause(BatchResult::Kind kind) {
  if (kind == BatchResult::Kind::kNotApplied ||
      kind == BatchResult::Kind::kNoResponse) {
    ++consecutive_refusals_;
    pause_ =
        std::min(std::max(pause_ * 2, Milliseconds(8)), options_.max_pause);
    return;
  }
  consecutive_refusals_ = 0;
  pause_ = std::max(pause_ * 9 / 10, options_.min_pause);
}

}  // namespace camphor

#include "core/claims/claim_batcher.h"

#include <algorithm>
#include <utility>

namespace camphor {
namespace {

using Event = ClaimMachine::Event;

Event EventOf(const BatchResult& result, const ClaimRequest& claim) {
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
  // While the platform refuses, what already waits is test enough.
  if (claims_.size() >= options_.most_waiting || (shut() && !claims_.empty())) {
    ++counters_.refused;
    return false;
  }
  ++counters_.claims;
  const std::uint64_t id = claim.id;
  claims_.emplace(id, Claim{.request = std::move(claim),
                            .machine = {},
                            .give_up = now + options_.give_up_after});
  queue_.push_back(id);
  return true;
}

std::optional<ClaimBatcher::Batch> ClaimBatcher::NextBatch(MonoTime now) {
  const std::size_t most_in_flight = shut() ? 1 : options_.most_in_flight;
  if (queue_.empty() || now < next_write_ ||
      in_flight_.size() >= most_in_flight) {
    return std::nullopt;
  }
  Batch batch{.number = next_batch_};
  std::deque<std::uint64_t> left;
  while (!queue_.empty() && batch.claims.size() < options_.most_in_batch) {
    const std::uint64_t id = queue_.front();
    queue_.pop_front();
    Claim& claim = claims_.at(id);
    // Two claims of one key can not stand in one transaction.
    if (!busy_.emplace(claim.request.key, id).second) {
      left.push_back(id);
      continue;
    }
    claim.machine.Take(Event::kSent);
    in_flight_[batch.number].push_back(id);
    batch.claims.push_back(claim.request);
  }
  queue_.insert(queue_.begin(), left.begin(), left.end());
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
  std::erase_if(busy_, [&ids](const auto& entry) {
    return std::ranges::find(ids, entry.second) != ids.end();
  });
  for (const std::uint64_t id : ids) {
    const auto claim = claims_.find(id);
    if (claim == claims_.end()) continue;  // given up meanwhile
    claim->second.machine.Take(EventOf(result, claim->second.request));
    if (claim->second.machine.ended()) {
      End(id, decisions);
    } else {
      queue_.push_back(id);
    }
  }
  return decisions;
}

std::vector<ClaimDecision> ClaimBatcher::Expire(MonoTime now) {
  std::vector<ClaimDecision> decisions;
  while (!claims_.empty() && claims_.begin()->second.give_up <= now) {
    const std::uint64_t id = claims_.begin()->first;
    claims_.begin()->second.machine.Take(Event::kGiveUp);
    std::erase(queue_, id);
    End(id, decisions);
  }
  return decisions;
}

std::optional<MonoTime> ClaimBatcher::NextWakeTime() const {
  if (claims_.empty()) return std::nullopt;
  const MonoTime expiry = claims_.begin()->second.give_up;
  return queue_.empty() ? expiry : std::min(expiry, next_write_);
}

void ClaimBatcher::End(std::uint64_t id,
                       std::vector<ClaimDecision>& decisions) {
  decisions.push_back({.id = id, .state = claims_.at(id).machine.state()});
  claims_.erase(id);
}

void ClaimBatcher::AdaptPause(BatchResult::Kind kind) {
  if (kind == BatchResult::Kind::kNotApplied ||
      kind == BatchResult::Kind::kNoResponse) {
    ++refusals_in_row_;
    pause_ =
        std::min(std::max(pause_ * 2, Milliseconds(8)), options_.longest_pause);
    return;
  }
  refusals_in_row_ = 0;
  pause_ = std::max(pause_ * 9 / 10, options_.shortest_pause);
}

}  // namespace camphor

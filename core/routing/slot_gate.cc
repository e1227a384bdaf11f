#include "core/routing/slot_gate.h"

#include <algorithm>
#include <cassert>

namespace camphor {
namespace {

constexpr double kNewestWeight = 0.1;

}  // namespace

SlotGate::SlotGate(Options options) : options_(options) {
  assert(options.slots > 0);
}

void SlotGate::SetOptions(Options options) {
  assert(options.slots > 0);
  options_ = options;
}

SlotGate::Verdict SlotGate::Enter(std::uint64_t id, MonoTime deadline,
                                  MonoTime now) {
  if (deadline <= now) return Verdict::kTooLate;
  if (running_ < options_.slots && queue_.size() == 0) {
    ++running_;
    return Verdict::kRun;
  }
  if (queue_.size() >= options_.queue) return Verdict::kFull;
  const Microseconds wait = ExpectedWait(queue_.PositionOf(deadline));
  const Microseconds service(static_cast<std::int64_t>(service_us_));
  if (now + wait + service > deadline) return Verdict::kTooLate;
  queue_.Push({.deadline = deadline, .id = id});
  return Verdict::kWait;
}

SlotGate::Handover SlotGate::Leave(std::optional<Microseconds> took,
                                   MonoTime now) {
  assert(running_ > 0);
  if (took) {
    const auto sample = static_cast<double>(took->count());
    service_us_ = service_us_ == 0
                      ? sample
                      : service_us_ + kNewestWeight * (sample - service_us_);
  }
  --running_;
  Handover handover;
  if (running_ >= options_.slots) return handover;

  // Work that would miss its deadline anyway is not begun.
  const Microseconds service(static_cast<std::int64_t>(service_us_));
  while (const std::optional<DeadlineQueue::Entry> next = queue_.Pop()) {
    if (now + service <= next->deadline) {
      ++running_;
      handover.granted = next->id;
      break;
    }
    handover.expired.push_back(next->id);
  }
  return handover;
}

bool SlotGate::Cancel(std::uint64_t id) { return queue_.Remove(id); }

Microseconds SlotGate::ExpectedWait(std::size_t position) const {
  const double rounds =
      static_cast<double>(position + 1) / static_cast<double>(options_.slots);
  return Microseconds(static_cast<std::int64_t>(rounds * service_us_));
}

}  // namespace camphor

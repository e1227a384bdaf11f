#include "core/routing/slot_gate.h"

#include <algorithm>
#include <cassert>

namespace camphor {
namespace {

constexpr std::size_t kMostClasses = 32;

constexpr double kNewestWeight = 0.1;

}  // namespace

SlotGate::SlotGate(Options options) : options_(options) {
  assert(options.slots > 0);
}

void SlotGate::SetOptions(Options options) {
  assert(options.slots > 0);
  options_ = options;
}

SlotGate::Verdict SlotGate::Enter(std::uint64_t id, const Urgency& urgency,
                                  MonoTime now) {
  displaced_.reset();
  if (urgency.deadline <= now) return Verdict::kTooLate;
  if (running_ < options_.slots && queue_.size() == 0) {
    ++running_;
    return Verdict::kRun;
  }
  if (!EndsInTime(urgency, now)) return Verdict::kTooLate;
  if (queue_.size() >= options_.queue) {
    const UrgencyQueue::Entry* last = queue_.last();
    if (last == nullptr || last->urgency <= urgency) return Verdict::kFull;
    displaced_ = last->id;
    queue_.Remove(*displaced_);
  }
  queue_.Push({.urgency = urgency, .id = id});
  return Verdict::kWait;
}

SlotGate::Handover SlotGate::Leave(const std::optional<Ended>& ended,
                                   MonoTime now) {
  assert(running_ > 0);
  if (ended) Learn(*ended);
  --running_;
  Handover handover;
  if (running_ >= options_.slots) return handover;

  // Work that would miss its deadline anyway is not begun; of the rest, what
  // still has its full value goes before what is late already.
  const auto expired = [&](const UrgencyQueue::Entry& entry) {
    return now + ServiceOf(entry.urgency.work_class) > entry.urgency.deadline;
  };
  const auto in_time = [&](const UrgencyQueue::Entry& entry) {
    return now + ServiceOf(entry.urgency.work_class) <= entry.urgency.wanted;
  };
  while (const auto entry = queue_.PopFirst(expired))
    handover.expired.push_back(entry->id);
  std::optional<UrgencyQueue::Entry> next = queue_.PopFirst(in_time);
  if (!next)
    next = queue_.PopFirst([](const UrgencyQueue::Entry&) { return true; });
  if (!next) return handover;
  ++running_;
  handover.granted = next->id;
  return handover;
}

bool SlotGate::Cancel(std::uint64_t id) { return queue_.Remove(id); }

void SlotGate::Learn(const Ended& ended) {
  const auto sample = static_cast<double>(ended.took.count());
  const auto learn = [sample](double& average) {
    average =
        average == 0 ? sample : average + kNewestWeight * (sample - average);
  };
  learn(service_us_);
  const auto found =
      std::ranges::find(service_of_class_us_, ended.work_class,
                        &std::pair<std::uint32_t, double>::first);
  if (found != service_of_class_us_.end()) return learn(found->second);
  if (service_of_class_us_.size() < kMostClasses)
    service_of_class_us_.emplace_back(ended.work_class, sample);
}

Microseconds SlotGate::ServiceOf(std::uint32_t work_class) const {
  const auto found =
      std::ranges::find(service_of_class_us_, work_class,
                        &std::pair<std::uint32_t, double>::first);
  return Microseconds(static_cast<std::int64_t>(
      found == service_of_class_us_.end() ? service_us_ : found->second));
}

bool SlotGate::EndsInTime(const Urgency& urgency, MonoTime now) const {
  const Microseconds wait = ExpectedWait(queue_.PositionOf(urgency));
  const Microseconds service = ServiceOf(urgency.work_class);
  // A target that is too slow for the wanted time may still serve late.
  const bool possible = now + service <= urgency.wanted;
  return now + wait + service <= (possible ? urgency.wanted : urgency.deadline);
}

Microseconds SlotGate::ExpectedWait(std::size_t position) const {
  const double rounds =
      static_cast<double>(position + 1) / static_cast<double>(options_.slots);
  return Microseconds(static_cast<std::int64_t>(rounds * service_us_));
}

}  // namespace camphor

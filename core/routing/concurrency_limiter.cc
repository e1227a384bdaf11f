#include "core/routing/concurrency_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphor {
namespace {

constexpr std::size_t kMostClasses = 32;

constexpr double kNewestWeight = 0.1;

Microseconds Us(double microseconds) {
  return Microseconds(static_cast<std::int64_t>(microseconds));
}

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(Options options) : options_(options) {
  assert(options.slots > 0);
}

void ConcurrencyLimiter::SetOptions(Options options) {
  assert(options.slots > 0);
  options_ = options;
}

ConcurrencyLimiter::AdmitResult ConcurrencyLimiter::Acquire(
    std::uint64_t id, const Urgency& urgency, MonoTime now) {
  displaced_.reset();
  if (urgency.deadline <= now) return AdmitResult::kTooLate;
  if (running_ < options_.slots && queue_.size() == 0) {
    ++running_;
    return AdmitResult::kAdmitted;
  }
  if (!EndsInTime(urgency, now)) return AdmitResult::kTooLate;
  if (queue_.size() >= options_.queue) {
    const UrgencyQueue::Entry* last = queue_.last();
    if (last == nullptr || last->urgency <= urgency) return AdmitResult::kFull;
    displaced_ = last->id;
    queue_.Remove(*displaced_);
  }
  queue_.Push({.urgency = urgency, .id = id});
  return AdmitResult::kQueued;
}

ConcurrencyLimiter::ReleaseResult ConcurrencyLimiter::Release(
    const std::optional<ServiceSample>& ended, MonoTime now) {
  assert(running_ > 0);
  if (ended) Learn(*ended);
  --running_;
  ReleaseResult handover;
  if (running_ >= options_.slots) return handover;

  // Work that would miss its deadline anyway is not begun; of the rest, what
  // still has its full value goes before what is late already.
  const auto end_of = [&](const UrgencyQueue::Entry& entry) {
    return now + Us(ServiceOf(entry.urgency.work_class).mean_us);
  };
  const auto expired = [&](const UrgencyQueue::Entry& entry) {
    return end_of(entry) > entry.urgency.deadline;
  };
  const auto in_time = [&](const UrgencyQueue::Entry& entry) {
    return end_of(entry) <= entry.urgency.soft_deadline;
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

bool ConcurrencyLimiter::Cancel(std::uint64_t id) { return queue_.Remove(id); }

void ConcurrencyLimiter::Learn(const ServiceSample& ended) {
  const auto sample = static_cast<double>(ended.took.count());
  service_.Learn(sample);
  const auto found =
      std::ranges::find(by_class_, ended.work_class, &ServiceTime::work_class);
  if (found != by_class_.end()) return found->Learn(sample);
  if (by_class_.size() < kMostClasses)
    by_class_.push_back({.work_class = ended.work_class, .mean_us = sample});
}

void ConcurrencyLimiter::ServiceTime::Learn(double sample_us) {
  if (mean_us == 0) {
    mean_us = sample_us;
    return;
  }
  deviation_us +=
      kNewestWeight * (std::abs(sample_us - mean_us) - deviation_us);
  mean_us += kNewestWeight * (sample_us - mean_us);
}

const ConcurrencyLimiter::ServiceTime& ConcurrencyLimiter::ServiceOf(
    std::uint32_t work_class) const {
  const auto found =
      std::ranges::find(by_class_, work_class, &ServiceTime::work_class);
  return found == by_class_.end() ? service_ : *found;
}

bool ConcurrencyLimiter::EndsInTime(const Urgency& urgency,
                                    MonoTime now) const {
  const MonoTime begin = now + ExpectedWait(queue_.PositionOf(urgency));
  const ServiceTime& service = ServiceOf(urgency.work_class);
  const Microseconds usual = Us(service.mean_us);
  // A target that is too slow for the soft_deadline time may still serve late.
  if (now + usual > urgency.soft_deadline)
    return begin + usual <= urgency.deadline;
  // Half of the requests take longer than usual, but no more than a request
  // that begins at once may be asked for.
  const Microseconds most = std::min(
      Us(service.mean_us + service.deviation_us),
      std::chrono::duration_cast<Microseconds>(urgency.soft_deadline - now));
  return begin + most <= urgency.soft_deadline;
}

Microseconds ConcurrencyLimiter::ExpectedWait(std::size_t position) const {
  const double rounds =
      static_cast<double>(position + 1) / static_cast<double>(options_.slots);
  return Us(rounds * service_.mean_us);
}

}  // namespace camphor

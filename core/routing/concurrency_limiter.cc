#include "core/routing/concurrency_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphor {
namespace {

constexpr std::size_t kMaxClasses = 32;

constexpr double kNewestWeight = 0.1;

Microseconds ToMicroseconds(double microseconds) {
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
  if (!CanEndInTime(urgency, now)) return AdmitResult::kTooLate;
  if (queue_.size() >= options_.queue) {
    const UrgencyQueue::Entry* last = queue_.least_urgent();
    if (last == nullptr || last->urgency <= urgency) return AdmitResult::kFull;
    displaced_ = last->id;
    queue_.Remove(*displaced_);
  }
  queue_.Push({.urgency = urgency, .id = id});
  return AdmitResult::kQueued;
}

ConcurrencyLimiter::ReleaseResult ConcurrencyLimiter::Release(
    const std::optional<ServiceSample>& sample, MonoTime now) {
  assert(running_ > 0);
  if (sample) Record(*sample);
  --running_;
  ReleaseResult result;
  if (running_ >= options_.slots) return result;

  // Requests that would miss their deadline are not started. Of the others,
  // those that can still meet their soft deadline go first.
  const auto expected_end = [&](const UrgencyQueue::Entry& entry) {
    return now +
           ToMicroseconds(ClassServiceTime(entry.urgency.work_class).mean_us);
  };
  const auto misses_deadline = [&](const UrgencyQueue::Entry& entry) {
    return expected_end(entry) > entry.urgency.deadline;
  };
  const auto meets_soft_deadline = [&](const UrgencyQueue::Entry& entry) {
    return expected_end(entry) <= entry.urgency.soft_deadline;
  };
  while (const auto entry = queue_.PopFirstIf(misses_deadline))
    result.expired.push_back(entry->id);
  std::optional<UrgencyQueue::Entry> next =
      queue_.PopFirstIf(meets_soft_deadline);
  if (!next)
    next = queue_.PopFirstIf([](const UrgencyQueue::Entry&) { return true; });
  if (!next) return result;
  ++running_;
  result.granted = next->id;
  return result;
}

std::optional<LoadReport> ConcurrencyLimiter::Report(
    std::uint32_t work_class) const {
  if (service_.mean_us < 1) return std::nullopt;
  const auto found =
      std::ranges::find(by_class_, work_class, &ServiceTime::work_class);
  return LoadReport{.running = running_,
                    .waiting = static_cast<std::uint32_t>(queue_.size()),
                    .service = ToMicroseconds(service_.mean_us),
                    .class_service = found == by_class_.end()
                                         ? Microseconds(0)
                                         : ToMicroseconds(found->mean_us)};
}

bool ConcurrencyLimiter::Cancel(std::uint64_t id) { return queue_.Remove(id); }

void ConcurrencyLimiter::Record(const ServiceSample& sample) {
  const auto took_us = static_cast<double>(sample.took.count());
  // A target that fails quickly must not appear to be fast.
  const double known_us = ClassServiceTime(sample.work_class).mean_us;
  if (sample.failed && (known_us == 0 || took_us <= known_us)) return;
  service_.Record(took_us);
  const auto found =
      std::ranges::find(by_class_, sample.work_class, &ServiceTime::work_class);
  if (found != by_class_.end()) return found->Record(took_us);
  if (by_class_.size() < kMaxClasses)
    by_class_.push_back({.work_class = sample.work_class, .mean_us = took_us});
}

void ConcurrencyLimiter::ServiceTime::Record(double sample_us) {
  if (mean_us == 0) {
    mean_us = sample_us;
    return;
  }
  deviation_us +=
      kNewestWeight * (std::abs(sample_us - mean_us) - deviation_us);
  mean_us += kNewestWeight * (sample_us - mean_us);
}

const ConcurrencyLimiter::ServiceTime& ConcurrencyLimiter::ClassServiceTime(
    std::uint32_t work_class) const {
  const auto found =
      std::ranges::find(by_class_, work_class, &ServiceTime::work_class);
  return found == by_class_.end() ? service_ : *found;
}

bool ConcurrencyLimiter::CanEndInTime(const Urgency& urgency,
                                      MonoTime now) const {
  const MonoTime start = now + ExpectedWait(queue_.InsertPosition(urgency));
  const ServiceTime& service = ClassServiceTime(urgency.work_class);
  const Microseconds mean = ToMicroseconds(service.mean_us);
  // If even an immediate start would miss the soft deadline, only the deadline
  // counts: the target is too slow for the objective but may still serve.
  if (now + mean > urgency.soft_deadline)
    return start + mean <= urgency.deadline;
  // Half of the requests take longer than the mean, hence the deviation is
  // added. The sum is capped at the time until the soft deadline, so that a
  // request that can start immediately is never rejected.
  const Microseconds service_time = std::min(
      ToMicroseconds(service.mean_us + service.deviation_us),
      std::chrono::duration_cast<Microseconds>(urgency.soft_deadline - now));
  return start + service_time <= urgency.soft_deadline;
}

Microseconds ConcurrencyLimiter::ExpectedWait(std::size_t position) const {
  const double rounds =
      static_cast<double>(position + 1) / static_cast<double>(options_.slots);
  return ToMicroseconds(rounds * service_.mean_us);
}

}  // namespace camphor

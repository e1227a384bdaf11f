#include "core/routing/cold_target_limit.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <iterator>

namespace camphor {
namespace {

// Requests that may be sent at once, as the time in which the rate admits them.
constexpr double kBurstSeconds = 0.25;

// Part of the slack of 8 requests that the bound leaves beside the rate. The
// lower limit leaves room for the reserve of urgent requests at low rates.
constexpr double kMinBurst = 3;
constexpr double kMaxBurst = 8;

// Time for which a priority that has asked keeps a token in reserve.
constexpr Milliseconds kReserveTime{1000};

// Priorities to remember. A team's priority goes before that of the route, so
// there can be thousands.
constexpr std::size_t kMaxPriorities = 16;

double Burst(double per_second) {
  return std::clamp(per_second * kBurstSeconds, kMinBurst, kMaxBurst);
}

}  // namespace

void ColdTargetLimit::Set(std::optional<double> per_second, MonoTime now) {
  assert(!per_second || *per_second > 0);
  per_second_ = per_second;
  if (!per_second) return bucket_.reset();
  const TokenBucket::Options options{.per_second = *per_second,
                                     .burst = Burst(*per_second)};
  if (bucket_) return bucket_->SetOptions(options, now);
  // Requests in flight were admitted before the target was known to be cold.
  bucket_.emplace(options).Clear(now);
  cold_since_ = now;
  last_asked_.clear();
}

bool ColdTargetLimit::HasRoom(std::uint32_t priority, MonoTime now) {
  if (!bucket_) return true;
  const double reserve = static_cast<double>(MoreUrgent(priority, now));
  const double needed = 1 + std::min(reserve, Burst(*per_second_) - 1);
  return bucket_->Tokens(now) >= needed;
}

bool ColdTargetLimit::TryAcquire(std::uint32_t priority, MonoTime now) {
  return HasRoom(priority, now) && (!bucket_ || bucket_->Take(1, now));
}

std::size_t ColdTargetLimit::MoreUrgent(std::uint32_t priority, MonoTime now) {
  last_asked_[priority] = now;
  std::erase_if(last_asked_, [now](const auto& entry) {
    return now - entry.second > kReserveTime;
  });
  if (last_asked_.size() > kMaxPriorities)
    last_asked_.erase(std::prev(last_asked_.end()));
  return static_cast<std::size_t>(
      std::distance(last_asked_.begin(), last_asked_.lower_bound(priority)));
}

}  // namespace camphor

#include "core/routing/target_rate_limit.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace camphor {
namespace {

// Requests that may be sent at once, as the time in which the limit admits
// them.
constexpr double kBurstSeconds = 0.25;

// A target that takes nothing still gets a request now and then, whose response
// tells whether that has changed.
constexpr double kMinPerSecond = 0.5;

}  // namespace

void TargetRateLimit::Set(std::optional<double> per_second, MonoTime now) {
  assert(!per_second || *per_second >= 0);
  per_second_ = per_second;
  if (!per_second) return bucket_.reset();
  const double rate = std::max(*per_second, kMinPerSecond);
  const TokenBucket::Options options{
      .per_second = rate, .burst = std::max(1.0, rate * kBurstSeconds)};
  if (bucket_) return bucket_->SetOptions(options, now);
  // The requests in flight were admitted before the limit was known.
  bucket_.emplace(options).Clear(now);
}

bool TargetRateLimit::HasRoom(MonoTime now) {
  return !bucket_ || bucket_->Tokens(now) >= 1;
}

bool TargetRateLimit::TryAcquire(MonoTime now) {
  return !bucket_ || bucket_->Take(1, now);
}

}  // namespace camphor

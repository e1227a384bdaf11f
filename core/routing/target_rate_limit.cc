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
  if (per_second && per_second_) {
    Refill(now);
  } else if (per_second) {
    // The requests in flight were admitted before the limit was known.
    tokens_ = 0;
    last_refill_ = now;
  }
  per_second_ = per_second;
  if (per_second_) tokens_ = std::min(tokens_, MaxTokens());
}

bool TargetRateLimit::HasRoom(MonoTime now) {
  if (!per_second_) return true;
  Refill(now);
  return tokens_ >= 1;
}

bool TargetRateLimit::TryAcquire(MonoTime now) {
  if (!HasRoom(now)) return false;
  if (per_second_) tokens_ -= 1;
  return true;
}

double TargetRateLimit::Rate() const {
  return std::max(*per_second_, kMinPerSecond);
}

double TargetRateLimit::MaxTokens() const {
  return std::max(1.0, Rate() * kBurstSeconds);
}

void TargetRateLimit::Refill(MonoTime now) {
  if (now <= last_refill_) return;
  const std::chrono::duration<double> elapsed = now - last_refill_;
  tokens_ = std::min(MaxTokens(), tokens_ + elapsed.count() * Rate());
  last_refill_ = now;
}

}  // namespace camphor

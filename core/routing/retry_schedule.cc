#include "core/routing/retry_schedule.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace camphor {
namespace {

// Two periods of a target's report, which may say that it is warm.
constexpr Milliseconds kMaxDelay{2000};

}  // namespace

Milliseconds RetrySchedule::Next(double per_second, MonoTime now) {
  assert(per_second > 0);
  const auto interval = std::chrono::duration_cast<MonoTime::duration>(
      std::min(std::chrono::duration<double>(1 / per_second),
               std::chrono::duration<double>(kMaxDelay)));
  next_free_ = std::min(std::max(next_free_, now) + interval, now + kMaxDelay);
  return std::chrono::ceil<Milliseconds>(next_free_ - now);
}

}  // namespace camphor

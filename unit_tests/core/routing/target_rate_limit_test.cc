#include "core/routing/target_rate_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

TEST(TargetRateLimitTryAcquire, NoLimitNamed_AdmitsAll) {
  TargetRateLimit limit;
  for (int request = 0; request < 1000; ++request)
    EXPECT_TRUE(limit.TryAcquire(kStart));
}

TEST(TargetRateLimitTryAcquire, LimitNoLongerNamed_AdmitsAll) {
  TargetRateLimit limit;
  limit.Set(0, kStart);
  EXPECT_FALSE(limit.TryAcquire(kStart));
  limit.Set(std::nullopt, kStart);
  for (int request = 0; request < 1000; ++request)
    EXPECT_TRUE(limit.TryAcquire(kStart));
}

TEST(TargetRateLimitTryAcquire, LimitOfZero_StillProbes) {
  TargetRateLimit limit;
  limit.Set(0, kStart);
  int admitted = 0;
  for (int second = 1; second <= 20; ++second)
    if (limit.TryAcquire(kStart + Seconds(second))) ++admitted;
  EXPECT_GE(admitted, 5);
  EXPECT_LE(admitted, 20);
}

// In any window, at most one and a half times the limit and five more.
TEST(TargetRateLimitTryAcquire, AnyArrivals_StayWithinEveryWindow) {
  constexpr Milliseconds kWindow{4000};
  EXPECT_TRUE(rc::check([kWindow] {
    const double per_second = *rc::gen::inRange(1, 300);
    const auto gaps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 40));
    TargetRateLimit limit;
    MonoTime now = kStart;
    limit.Set(per_second, now);
    std::vector<MonoTime> admitted;
    for (const int gap : gaps) {
      now += Milliseconds(gap);
      // Several requests at once, and a limit that differs a little each time.
      limit.Set(per_second * (gap % 2 == 0 ? 1.0 : 0.97), now);
      for (int request = 0; request < 20; ++request)
        if (limit.TryAcquire(now)) admitted.push_back(now);
    }
    for (auto first = admitted.begin(); first != admitted.end(); ++first) {
      const auto last =
          std::upper_bound(first, admitted.end(), *first + kWindow);
      RC_ASSERT(static_cast<double>(last - first) <= 1.5 * per_second * 4 + 5);
    }
  }));
}

// A target that is asked steadily gets what it takes.
TEST(TargetRateLimitTryAcquire, SteadyArrivals_UseTheLimit) {
  TargetRateLimit limit;
  limit.Set(50, kStart);
  int admitted = 0;
  for (int ms = 0; ms < 10'000; ms += 5)
    if (limit.TryAcquire(kStart + Milliseconds(ms))) ++admitted;
  EXPECT_GE(admitted, 490);
  EXPECT_LE(admitted, 515);
}

}  // namespace
}  // namespace camphor

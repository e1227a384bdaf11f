#include "core/routing/cold_target_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

TEST(ColdTargetLimitTryAcquire, NotCold_AdmitsAll) {
  ColdTargetLimit limit;
  for (int request = 0; request < 1000; ++request)
    EXPECT_TRUE(limit.TryAcquire(0, kStart));
}

TEST(ColdTargetLimitTryAcquire, NoLongerCold_AdmitsAll) {
  ColdTargetLimit limit;
  limit.Set(1, kStart);
  EXPECT_FALSE(limit.TryAcquire(0, kStart));
  limit.Set(std::nullopt, kStart);
  for (int request = 0; request < 1000; ++request)
    EXPECT_TRUE(limit.TryAcquire(0, kStart));
}

// A target crashes well above the bound. Requests arrive up to 500 ms after
// they were admitted, the target turns cold and warm at any time, and callers
// have any priorities.
TEST(ColdTargetLimitTryAcquire, AnyArrivals_NoSecondExceedsTheBound) {
  EXPECT_TRUE(rc::check([] {
    const double per_second = *rc::gen::inRange(1, 200);
    const auto gaps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 40));
    ColdTargetLimit limit;
    MonoTime now = kStart;
    limit.Set(per_second, now);
    std::vector<MonoTime> arrivals;
    for (const int gap : gaps) {
      now += Milliseconds(gap);
      // Warm for a moment, in which no request is sent.
      if (gap == 17) limit.Set(std::nullopt, now);
      limit.Set(per_second, now);
      for (int request = 0; request < 20; ++request) {
        const auto priority = static_cast<std::uint32_t>((gap + request) % 5);
        if (!limit.TryAcquire(priority, now)) continue;
        const int delay_ms = (gap * 31 + request * 97) % 500;
        arrivals.push_back(now + Milliseconds(delay_ms));
      }
    }
    std::ranges::sort(arrivals);
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      const auto last =
          std::upper_bound(first, arrivals.end(), *first + Seconds(1));
      RC_ASSERT(static_cast<double>(last - first) <= 1.5 * per_second + 8);
    }
  }));
}

// What the target tolerates is used, or the callers lose more than they must.
TEST(ColdTargetLimitTryAcquire, SteadyArrivals_UseTheRate) {
  ColdTargetLimit limit;
  limit.Set(15, kStart);
  int admitted = 0;
  for (int ms = 0; ms < 10'000; ms += 5)
    if (limit.TryAcquire(0, kStart + Milliseconds(ms))) ++admitted;
  EXPECT_GE(admitted, 148);
  EXPECT_LE(admitted, 154);
}

TEST(ColdTargetLimitTryAcquire, Overload_MoreUrgentRequestsAreAdmitted) {
  ColdTargetLimit limit;
  limit.Set(15, kStart);
  int admitted[3] = {};
  for (int ms = 0; ms < 10'000; ms += 10) {
    for (const std::uint32_t priority : {2U, 1U, 0U}) {
      if (limit.TryAcquire(priority, kStart + Milliseconds(ms)))
        ++admitted[priority];
    }
  }
  // The first requests precede the first urgent one.
  EXPECT_GE(admitted[0], 140);
  EXPECT_LE(admitted[1] + admitted[2], 4);
}

// Few urgent requests must not keep the others from what is left.
TEST(ColdTargetLimitTryAcquire, FewUrgentRequests_OthersGetTheRest) {
  ColdTargetLimit limit;
  limit.Set(15, kStart);
  int urgent = 0;
  int others = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    const MonoTime now = kStart + Milliseconds(ms);
    if (ms % 200 == 0 && limit.TryAcquire(0, now)) ++urgent;
    if (limit.TryAcquire(1, now)) ++others;
  }
  EXPECT_GE(urgent, 48);
  EXPECT_GE(others, 90);
}

TEST(ColdTargetLimitTryAcquire, ManyPriorities_AllStayServedInTurn) {
  ColdTargetLimit limit;
  limit.Set(100, kStart);
  int admitted = 0;
  for (std::uint32_t request = 0; request < 2000; ++request) {
    const MonoTime now = kStart + Milliseconds(5) * request;
    if (limit.TryAcquire(request % 100, now)) ++admitted;
  }
  EXPECT_GE(admitted, 900);
}

}  // namespace
}  // namespace camphor

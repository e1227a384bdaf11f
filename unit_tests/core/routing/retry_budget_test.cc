#include "core/routing/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <utility>
#include <vector>

namespace camphor {
namespace {

const PoolName kPool("billing");

TEST(RetryBudgetTryAcquire, AnyTrafficOnManyHosts_StaysWithinRatioAndBurst) {
  EXPECT_TRUE(rc::check([] {
    constexpr double kRatio = 0.2;
    constexpr double kBurst = 58;
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 40);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 39), rc::gen::arbitrary<bool>()));
    std::vector<RetryBudget> budgets(
        hosts, RetryBudget({.ratio = kRatio, .burst = kBurst}));
    for (RetryBudget& budget : budgets) {
      budget.SetHosts(hosts);
      // Fill the token balance up to its maximum.
      for (int request = 0; request < 1000; ++request) budget.OnRequest(kPool);
    }
    double requests = 0;
    double retries = 0;
    for (const auto& [host, retry] : steps) {
      RetryBudget& budget = budgets[static_cast<std::size_t>(host) % hosts];
      if (!retry) {
        ++requests;
        budget.OnRequest(kPool);
      } else if (budget.TryAcquire(kPool)) {
        ++retries;
      }
    }
    RC_ASSERT(retries <= kRatio * requests + kBurst);
  }));
}

TEST(RetryBudgetTryAcquire, TrafficOfOtherPool_AddsNoTokens) {
  RetryBudget budget({.ratio = 0.2, .burst = 58});
  budget.SetHosts(13);
  while (budget.TryAcquire(kPool)) {
  }
  for (int request = 0; request < 1000; ++request)
    budget.OnRequest(PoolName("ordering"));
  EXPECT_FALSE(budget.TryAcquire(kPool));
  EXPECT_TRUE(budget.TryAcquire(PoolName("ordering")));
}

TEST(RetryBudgetTryAcquire, NewHost_StartsBelowItsShareOfTheBurst) {
  RetryBudget budget({.ratio = 0.2, .burst = 58});
  budget.SetHosts(13);
  EXPECT_TRUE(budget.TryAcquire(kPool));
  EXPECT_FALSE(budget.TryAcquire(kPool));
}

TEST(RetryBudgetSetHosts, MoreHostsThanBurst_EachCanStillRetry) {
  RetryBudget budget({.ratio = 0.2, .burst = 58});
  budget.SetHosts(1800);
  for (int request = 0; request < 10; ++request) budget.OnRequest(kPool);
  EXPECT_TRUE(budget.TryAcquire(kPool));
}

}  // namespace
}  // namespace camphor

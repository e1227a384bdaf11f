#include "core/rollout/ramp_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace camphor {
namespace {

const RampOptions kOptions;

RampState RampOf(std::uint32_t share_ppm) {
  return {.stage = RolloutStage::kRamp,
          .share_ppm = share_ppm,
          .complete_by = MonoTime(Seconds(1000)),
          .since_step = Seconds(500)};
}

TEST(ComputeRouteShares, CanaryShare_TotalIsWithinBudget) {
  EXPECT_TRUE(rc::check([] {
    const auto sizes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000));
    RC_PRE(sizes.size() >= 2);
    double all = 0;
    for (const int size : sizes) all += size;
    std::vector<RouteWeight> weights;
    for (std::size_t route = 0; route < sizes.size(); ++route) {
      weights.push_back({.route = RouteName(std::to_string(route)),
                         .weight = sizes[route] / all});
    }
    const auto shares =
        ComputeRouteShares(kOptions, kOptions.canary_share_ppm, weights);
    double total = 0;
    for (std::size_t route = 0; route < shares.size(); ++route) {
      total += shares[route].share_ppm * weights[route].weight;
    }
    RC_ASSERT(total <= kOptions.canary_share_ppm + 1.0);
  }));
}

TEST(ComputeRouteShares, RareRoute_GetsMuchLargerShareThanCommonOne) {
  const std::vector<RouteWeight> weights = {
      {.route = RouteName("common"), .weight = 0.99},
      {.route = RouteName("rare"), .weight = 0.01}};
  const auto shares =
      ComputeRouteShares(kOptions, kOptions.canary_share_ppm, weights);
  ASSERT_EQ(shares.size(), 2U);
  EXPECT_GT(shares[1].share_ppm, 20 * shares[0].share_ppm);
}

TEST(ComputeRouteShares, IncreasingShare_NeverDecreasesOnAnyRoute) {
  const std::vector<RouteWeight> weights = {
      {.route = RouteName("a"), .weight = 0.7},
      {.route = RouteName("b"), .weight = 0.29},
      {.route = RouteName("c"), .weight = 0.01}};
  std::vector<RouteShare> before =
      ComputeRouteShares(kOptions, kOptions.canary_share_ppm, weights);
  for (std::uint32_t share = kOptions.canary_share_ppm;
       share <= kAllTrafficPpm - kOptions.control_share_ppm; share += 5'000) {
    const auto shares = ComputeRouteShares(kOptions, share, weights);
    for (std::size_t route = 0; route < weights.size(); ++route) {
      EXPECT_GE(shares[route].share_ppm, before[route].share_ppm) << share;
    }
    before = shares;
  }
}

TEST(NextShare, EvidenceWithTimeLeft_HoldsShare) {
  RampState state = RampOf(100'000);
  EXPECT_TRUE(NextShare(kOptions, state, MonoTime(Seconds(600))));
  state.evidence = kOptions.hold_threshold;
  EXPECT_FALSE(NextShare(kOptions, state, MonoTime(Seconds(600))));
}

TEST(NextShare, EvidenceWithoutTimeLeft_IncreasesShare) {
  RampState state = RampOf(100'000);
  state.evidence = kOptions.hold_threshold;
  EXPECT_TRUE(NextShare(kOptions, state, MonoTime(Seconds(990))));
}

TEST(NextShare, NoEvidence_ReachesFullShareBeforeDeadline) {
  RampState state = RampOf(kOptions.canary_share_ppm);
  state.since_step = Milliseconds(0);
  int second = 600;
  while (state.share_ppm < kAllTrafficPpm - kOptions.control_share_ppm) {
    ASSERT_LT(second, 1000);
    const auto share = NextShare(kOptions, state, MonoTime(Seconds(second)));
    ++second;
    state.since_step += Seconds(1);
    if (!share) continue;
    EXPECT_GT(*share, state.share_ppm);
    state.share_ppm = *share;
    state.since_step = Milliseconds(0);
  }
  EXPECT_GT(second, 800);
}

TEST(NextShare, LittleTimeLeft_TakesLargerSteps) {
  RampState state = RampOf(kOptions.canary_share_ppm);
  const auto usual = NextShare(kOptions, state, MonoTime(Seconds(600)));
  const auto late = NextShare(kOptions, state, MonoTime(Seconds(2000)));
  ASSERT_TRUE(usual && late);
  EXPECT_GT(*late, *usual);
  // The step size is limited even then.
  EXPECT_LT(*late, 50'000U);
}

TEST(IsCanaryComplete, Hurry_CompletesEarlier) {
  RampState state{.stage = RolloutStage::kCanary,
                  .share_ppm = kOptions.canary_share_ppm,
                  .complete_by = MonoTime(Seconds(1000))};
  const MonoTime now{Seconds(200)};
  EXPECT_FALSE(IsCanaryComplete(kOptions, state, now));
  state.hurry = true;
  EXPECT_TRUE(IsCanaryComplete(kOptions, state, now));
}

TEST(ComputeCanaryTargetCount,
     ArbitraryShare_LoadsNewTargetsNoMoreThanOldOnes) {
  EXPECT_TRUE(rc::check([] {
    const auto share = *rc::gen::inRange<std::uint32_t>(1, kAllTrafficPpm);
    const auto old_targets = *rc::gen::inRange<std::size_t>(1, 50);
    const auto new_targets = *rc::gen::inRange<std::size_t>(1, 50);
    const std::uint32_t count =
        ComputeCanaryTargetCount(kOptions, share, old_targets, new_targets);
    if (count == 0) return;  // all targets are used
    const double part = static_cast<double>(share) / kAllTrafficPpm;
    RC_ASSERT(part / count <= (1 - part) / old_targets + 1e-9);
  }));
}

TEST(ComputeCanaryShare, SmallPool_IncreasesShareUpToMaximum) {
  const RampOptions options{.canary_share_ppm = 50'000,
                            .min_canary_rate = 10,
                            .max_canary_share_ppm = 150'000};
  EXPECT_EQ(ComputeCanaryShare(options, 400), 50'000U);
  EXPECT_EQ(ComputeCanaryShare(options, 100), 100'000U);
  EXPECT_EQ(ComputeCanaryShare(options, 10), 150'000U);
  EXPECT_EQ(ComputeCanaryShare(options, 0), 50'000U);
}

}  // namespace
}  // namespace camphor

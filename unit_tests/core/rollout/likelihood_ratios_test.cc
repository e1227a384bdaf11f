#include "core/rollout/likelihood_ratios.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace camphor {
namespace {

constexpr BaselineRates kRates{.baseline_rate = 0.004,
                               .tolerated_rate = 0.026,
                               .shared_fault_probability = 0.2};

/// Returns the maximum ratio of a block with one target of the new version.
double MaxRatio(double new_bad_events, double old_bad_events) {
  return std::ranges::max(
      AbruptChangeRatios({.target_requests = 48,
                          .target_bad_events = new_bad_events,
                          .new_requests = 48,
                          .old_requests = 12,
                          .old_bad_events = old_bad_events},
                         kRates));
}

TEST(AbruptChangeRatios, BadEventsOfNewVersionOnly_GivesStrongEvidence) {
  EXPECT_GT(MaxRatio(19, 0), 4);
}

TEST(AbruptChangeRatios, BadEventsOfBothVersions_IsNegative) {
  EXPECT_LT(MaxRatio(19, 5), 0);
}

TEST(AbruptChangeRatios, BadEventsWithinTolerance_IsNegative) {
  EXPECT_LT(MaxRatio(0, 0), 0);
  EXPECT_LT(MaxRatio(1, 0), 0);
}

}  // namespace
}  // namespace camphor

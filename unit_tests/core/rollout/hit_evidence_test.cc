#include "core/rollout/hit_evidence.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace camphor {
namespace {

constexpr HitRates kRates{
    .usual_rate = 0.004, .tolerated_rate = 0.026, .shared_fault = 0.2};

/// Evidence of one block in which one target stands for the new version.
double Evidence(double new_bad_events, double old_bad_events) {
  return std::ranges::max(AbruptHitEvidence({.target_requests = 48,
                                             .target_hits = new_bad_events,
                                             .new_requests = 48,
                                             .old_requests = 12,
                                             .old_bad_events = old_bad_events},
                                            kRates));
}

TEST(AbruptHitEvidence, HitsOfTheNewVersionAlone_AreStrong) {
  EXPECT_GT(Evidence(19, 0), 4);
}

TEST(AbruptHitEvidence, HitsOfBoth_SpeakForTheNewVersion) {
  EXPECT_LT(Evidence(19, 5), 0);
}

TEST(AbruptHitEvidence, HitsWithinWhatIsTolerated_SpeakForIt) {
  EXPECT_LT(Evidence(0, 0), 0);
  EXPECT_LT(Evidence(1, 0), 0);
}

}  // namespace
}  // namespace camphor

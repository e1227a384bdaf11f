#include "performance_test/rollout/rollout_trial.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "performance_test/rollout/random_source.h"
#include "performance_test/rollout/trial_summary.h"

namespace camphor {
namespace {

TrialOptions Options(const std::string& kind, std::uint64_t seed) {
  const auto found = std::ranges::find(
      AllKinds(), kind,
      [](const RolloutKind& candidate) { return candidate.name; });
  EXPECT_NE(found, AllKinds().end()) << kind;
  TrialOptions options{.kind = *found, .seed = seed};
  options.workload.time_allowed_s = 600;
  options.workload.bake_s = 120;
  options.workload.confounder.with_bad = 0;
  return options;
}

TEST(RunTrial, SameSeed_ReturnsSameResult) {
  const TrialResult first = RunTrial(Options("mild_slow_at_once", 3));
  const TrialResult second = RunTrial(Options("mild_slow_at_once", 3));
  EXPECT_EQ(first.bad_requests, second.bad_requests);
  EXPECT_EQ(first.rollback_delay_s, second.rollback_delay_s);
  EXPECT_EQ(first.reason, second.reason);
}

TEST(RunTrial, GoodVersions_FinishInTime) {
  for (const std::string kind :
       {"good_steady", "good_bad_host", "good_hosts_die", "good_cold_start",
        "good_shared_errors", "good_few_requests"}) {
    const TrialResult result = RunTrial(Options(kind, 1));
    EXPECT_TRUE(result.in_time) << kind;
    EXPECT_FALSE(result.rolled_back) << kind << result.reason.sentence;
  }
}

TEST(RunTrial, GrosslyBadVersions_RollBackAtSmallShare) {
  for (const std::string kind :
       {"gross_fail_at_once", "gross_slow_at_once", "gross_fail_rare_route",
        "gross_slow_under_load"}) {
    const TrialResult result = RunTrial(Options(kind, 1));
    EXPECT_TRUE(result.rolled_back) << kind;
    EXPECT_LE(result.bad_share, 0.01) << kind;
    EXPECT_FALSE(result.reason.sentence.empty()) << kind;
  }
}

TEST(WorkloadParse, InvalidFields_ReportsEveryError) {
  std::vector<FieldError> errors;
  const auto workload = Workload::Parse(
      R"({"request_rate": -1, "kinds": ["unheard_of"], "colour": "red"})",
      errors);
  EXPECT_FALSE(workload);
  EXPECT_EQ(errors.size(), 3U);
}

TEST(WorkloadParse, RouteShares_AreNormalised) {
  std::vector<FieldError> errors;
  const auto workload = Workload::Parse(
      R"({"routes": [{"name": "a", "share": 3}, {"name": "b", "share": 1}]})",
      errors);
  ASSERT_TRUE(workload);
  EXPECT_DOUBLE_EQ(workload->routes[0].share, 0.75);
}

TEST(RandomSourceBinomial, SmallAndLargeCounts_MatchExpectedMean) {
  RandomSource random(1);
  for (const auto& [trials, chance] :
       {std::pair(20, 0.1), std::pair(20, 0.9), std::pair(5'000, 0.3)}) {
    constexpr int kDraws = 2'000;
    double sum = 0;
    for (int draw = 0; draw < kDraws; ++draw) {
      sum += static_cast<double>(random.Binomial(trials, chance));
    }
    EXPECT_NEAR(sum / kDraws / (trials * chance), 1, 0.05);
  }
}

TEST(Quantile, Values_ReturnsNearestRank) {
  EXPECT_DOUBLE_EQ(Quantile({3, 1, 2}, 0.5), 2);
  EXPECT_DOUBLE_EQ(Quantile({3, 1, 2}, 0.99), 3);
  EXPECT_DOUBLE_EQ(Quantile({}, 0.5), 0);
}

}  // namespace
}  // namespace camphor

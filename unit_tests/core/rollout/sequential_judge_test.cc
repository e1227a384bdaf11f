#include "core/rollout/sequential_judge.h"

#include <gtest/gtest.h>

#include <functional>

#include "core/rollout/latency_histogram.h"

namespace camphor {
namespace {

/// Feeds a judge with blocks of two versions on two routes, with four targets
/// of each version.
class SequentialJudgeTest : public testing::Test {
 protected:
  static constexpr int kOldRequests = 400;  // per target, route and block
  static constexpr int kNewRequests = 20;
  static constexpr int kWarmBlocks = 60;

  /// Failures and latency of one cell.
  struct Behavior {
    int failures = 0;
    Milliseconds latency{10};
  };
  using BehaviorFunction = std::function<Behavior(
      bool is_new, const std::string& route, int target)>;

  void Run(int blocks, const BehaviorFunction& get_behavior) {
    for (int block = 0; block < blocks; ++block) {
      now_ += Seconds(2);
      EvidenceBlock evidence{.old_version = TargetVersion("v1"),
                             .new_version = TargetVersion("v2"),
                             .end = now_,
                             .new_targets = 4,
                             .slots = 100};
      for (const std::string route : {"common", "rare"}) {
        for (const bool is_new : {false, true}) {
          for (int target = 0; target < 4; ++target) {
            evidence.cells.push_back(Cell(route, is_new, target,
                                          get_behavior(is_new, route, target)));
          }
        }
      }
      judge_.AddBlock(evidence);
    }
  }

  static EvidenceCell Cell(const std::string& route, bool is_new, int target,
                           const Behavior& behavior) {
    const int requests = is_new ? kNewRequests : kOldRequests;
    EvidenceCell cell{
        .route = RouteName(route),
        .version = TargetVersion(is_new ? "v2" : "v1"),
        .target = TargetId((is_new ? "n" : "o") + std::to_string(target)),
        .requests = static_cast<std::uint64_t>(requests),
        .failures = static_cast<std::uint64_t>(behavior.failures)};
    const int successes = requests - behavior.failures;
    // A quarter of the requests takes twice as long.
    cell.latency[LatencyBucketIndex(behavior.latency)] = successes * 3 / 4;
    cell.latency[LatencyBucketIndex(2 * behavior.latency)] +=
        successes - successes * 3 / 4;
    return cell;
  }

  static Behavior Healthy(bool is_new, const std::string& /*route*/,
                          int /*target*/) {
    return {.failures = is_new ? 0 : 2};
  }

  SequentialJudge judge_{{}};
  MonoTime now_{};
};

TEST_F(SequentialJudgeTest, GoodVersion_HasLittleEvidence) {
  Run(500, Healthy);
  EXPECT_LT(judge_.evidence(), 0.3);
  EXPECT_EQ(judge_.RejectionReason(), std::nullopt);
}

TEST_F(SequentialJudgeTest, FailuresOnOneRoute_ReasonHasRouteSignalAndCounts) {
  Run(kWarmBlocks, Healthy);
  Run(10, [](bool is_new, const std::string& route, int target) {
    if (is_new && route == "rare") return Behavior{.failures = 5};
    return Healthy(is_new, route, target);
  });
  const auto reason = judge_.RejectionReason();
  ASSERT_TRUE(reason);
  EXPECT_EQ(reason->signal, "failures");
  EXPECT_EQ(reason->route, RouteName("rare"));
  EXPECT_GT(reason->new_requests, 0U);
  EXPECT_GT(reason->old_requests, 0U);
}

TEST_F(SequentialJudgeTest, SlowAfterColdStart_IsRejected) {
  Run(kWarmBlocks, Healthy);
  Run(10, [](bool is_new, const std::string& route, int target) {
    Behavior behavior = Healthy(is_new, route, target);
    if (is_new) behavior.latency = Milliseconds(30);
    return behavior;
  });
  EXPECT_GE(judge_.evidence(), 1);
}

TEST_F(SequentialJudgeTest, PermanentlySlow_IsNotTreatedAsColdStart) {
  const auto slow = [](bool is_new, const std::string& route, int target) {
    Behavior behavior = Healthy(is_new, route, target);
    if (is_new) behavior.latency = Milliseconds(30);
    return behavior;
  };
  Run(20, slow);
  EXPECT_LT(judge_.evidence(), 1);
  Run(60, slow);
  EXPECT_GE(judge_.evidence(), 1);
}

TEST_F(SequentialJudgeTest, FaultOfBothVersions_IsNotRejected) {
  Run(kWarmBlocks, Healthy);
  Run(60, [](bool is_new, const std::string& /*route*/, int /*target*/) {
    return Behavior{.failures = is_new ? 2 : 40, .latency = Milliseconds(40)};
  });
  EXPECT_LT(judge_.evidence(), 1);
}

TEST_F(SequentialJudgeTest, OneBadHost_IsNotRejected) {
  Run(kWarmBlocks, Healthy);
  Run(100, [](bool is_new, const std::string& route, int target) {
    if (is_new && target == 2) {
      return Behavior{.failures = 10, .latency = Milliseconds(80)};
    }
    return Healthy(is_new, route, target);
  });
  EXPECT_LT(judge_.evidence(), 1);
}

TEST_F(SequentialJudgeTest, LateFault_IsRejectedQuickly) {
  Run(2000, Healthy);
  Run(5, [](bool is_new, const std::string& route, int target) {
    if (is_new) return Behavior{.failures = 5};
    return Healthy(is_new, route, target);
  });
  EXPECT_GE(judge_.evidence(), 1);
}

}  // namespace
}  // namespace camphor

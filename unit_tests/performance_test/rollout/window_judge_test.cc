#include "performance_test/rollout/window_judge.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(FixedThresholdEvidence,
     MoreThanTwiceTheFailureRate_RollsBackFromFiftyRequests) {
  EXPECT_EQ(FixedThresholdEvidence({.new_requests = 100,
                                    .new_bad_events = 5,
                                    .old_requests = 1000,
                                    .old_bad_events = 10},
                                   JudgeSignal::kFailures),
            1);
  EXPECT_EQ(FixedThresholdEvidence({.new_requests = 10,
                                    .new_bad_events = 5,
                                    .old_requests = 1000,
                                    .old_bad_events = 10},
                                   JudgeSignal::kFailures),
            0);
}

TEST(WindowJudgeAddBlock, FailuresOutsideWindow_AreIgnored) {
  WindowJudge judge({.test = FixedThresholdEvidence});
  EvidenceBlock block{.old_version = TargetVersion("v1"),
                      .new_version = TargetVersion("v2")};
  for (const char* version : {"v1", "v2"}) {
    block.cells.push_back({.route = RouteName("a"),
                           .version = TargetVersion(version),
                           .target = TargetId(version),
                           .requests = 100});
  }
  block.cells[1].failures = 50;
  judge.AddBlock(block);
  EXPECT_EQ(judge.evidence(), 1);
  block.end += Seconds(120);
  block.cells[1].failures = 0;
  judge.AddBlock(block);
  EXPECT_EQ(judge.evidence(), 0);
}

}  // namespace
}  // namespace camphor

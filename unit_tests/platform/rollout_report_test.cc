#include "platform/rollout_report.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

PoolSpec Ordered() {
  return {.name = PoolName("a"),
          .rollout = RolloutSpec{.version = TargetVersion("v2"),
                                 .allowed = Seconds(12),
                                 .attempt = 15}};
}

TEST(RolloutReport, EachStage_IsToldInTheOperatorsWords) {
  const auto told = [](RolloutStage stage) {
    return *MakeRolloutReport(Ordered(), stage).writes.at(0).value;
  };
  EXPECT_EQ(told(RolloutStage::kPending),
            R"({"state":"running","target":"v2"})");
  EXPECT_EQ(told(RolloutStage::kDone),
            R"({"state":"succeeded","target":"v2"})");
  EXPECT_EQ(told(RolloutStage::kRolledBack),
            R"({"state":"rolled_back","target":"v2"})");
}

TEST(RolloutReport, OrderThatWasReplaced_GetsNoWord) {
  const TableTransaction report =
      MakeRolloutReport(Ordered(), RolloutStage::kDone);
  ASSERT_EQ(report.conditions.size(), 1U);
  EXPECT_EQ(report.conditions[0],
            (RowCondition{.table = "op", .key = "rollout/a", .revision = 15}));
}

}  // namespace
}  // namespace camphor

#include "platform/rollout_report.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

PoolSpec PoolWithRollout() {
  return {.name = PoolName("a"),
          .rollout = RolloutSpec{.version = TargetVersion("v2"),
                                 .allowed = Seconds(12),
                                 .attempt = 15}};
}

TEST(RolloutReport, EachStage_HasOperatorStateName) {
  const auto written_status = [](RolloutStage stage) {
    return *MakeRolloutReport(PoolWithRollout(), stage).writes.at(0).value;
  };
  EXPECT_EQ(written_status(RolloutStage::kPending),
            R"({"state":"running","target":"v2"})");
  EXPECT_EQ(written_status(RolloutStage::kDone),
            R"({"state":"succeeded","target":"v2"})");
  EXPECT_EQ(written_status(RolloutStage::kRolledBack),
            R"({"state":"rolled_back","target":"v2"})");
}

TEST(RolloutReport, RolloutOrder_IsConditionOfTheTransaction) {
  const TableTransaction report =
      MakeRolloutReport(PoolWithRollout(), RolloutStage::kDone);
  ASSERT_EQ(report.conditions.size(), 1U);
  EXPECT_EQ(report.conditions[0],
            (RowCondition{.table = "op", .key = "rollout/a", .revision = 15}));
}

}  // namespace
}  // namespace camphor

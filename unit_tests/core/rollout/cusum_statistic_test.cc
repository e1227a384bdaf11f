#include "core/rollout/cusum_statistic.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

LogLikelihoodRatios Ratios(double value) {
  LogLikelihoodRatios ratios;
  ratios.fill(value);
  return ratios;
}

TEST(CusumStatisticValue, OneBadTargetAmongGoodOnes_IsNotPositive) {
  CusumStatistic statistic;
  for (int block = 0; block < 100; ++block) {
    statistic.Add(TargetId("bad"), Ratios(4));
    statistic.Add(TargetId("a"), Ratios(-0.1));
    statistic.Add(TargetId("b"), Ratios(-0.1));
    statistic.EndBlock();
  }
  EXPECT_LE(statistic.Value({}), 0);
  EXPECT_GT(statistic.Value({.include_all_targets = true}), 100);
}

TEST(CusumStatisticValue, AllTargetsBad_IncreasesWithEachBlock) {
  CusumStatistic statistic;
  double before = 0;
  for (int block = 0; block < 5; ++block) {
    for (const char* target : {"a", "b", "c"}) {
      statistic.Add(TargetId(target), Ratios(1));
    }
    statistic.EndBlock();
    EXPECT_GT(statistic.Value({}), before);
    before = statistic.Value({});
  }
  EXPECT_DOUBLE_EQ(statistic.Value({.max_target_evidence = 3}), 6);
}

TEST(CusumStatisticEndBlock, LongHealthyPeriod_DoesNotMaskLaterFault) {
  CusumStatistic statistic;
  for (int block = 0; block < 1000; ++block) {
    statistic.Add(TargetId("a"), Ratios(-1));
    statistic.Add(TargetId("b"), Ratios(-1));
    statistic.EndBlock();
  }
  statistic.Add(TargetId("a"), Ratios(2));
  statistic.Add(TargetId("b"), Ratios(2));
  statistic.EndBlock();
  EXPECT_DOUBLE_EQ(statistic.Value({}), 2);
}

TEST(CusumStatisticRemoveTarget, TargetOfDeadHost_RemovesItsEvidence) {
  CusumStatistic statistic;
  statistic.Add(TargetId("dead"), Ratios(9));
  statistic.Add(TargetId("a"), Ratios(1));
  statistic.EndBlock();
  statistic.RemoveTarget(TargetId("dead"));
  EXPECT_DOUBLE_EQ(statistic.Value({.include_all_targets = true}), 1);
}

}  // namespace
}  // namespace camphor

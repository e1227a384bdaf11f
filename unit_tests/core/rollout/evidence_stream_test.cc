#include "core/rollout/evidence_stream.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

LogRatios Ratios(double value) {
  LogRatios ratios;
  ratios.fill(value);
  return ratios;
}

TEST(EvidenceStreamStrength, OneBadTargetAmongGoodOnes_IsNone) {
  EvidenceStream stream;
  for (int block = 0; block < 100; ++block) {
    stream.Add(TargetId("bad"), Ratios(4));
    stream.Add(TargetId("a"), Ratios(-0.1));
    stream.Add(TargetId("b"), Ratios(-0.1));
    stream.EndBlock();
  }
  EXPECT_LE(stream.Strength({}), 0);
  EXPECT_GT(stream.Strength({.lone = true}), 100);
}

TEST(EvidenceStreamStrength, AllTargetsBad_GrowsWithEachBlock) {
  EvidenceStream stream;
  double before = 0;
  for (int block = 0; block < 5; ++block) {
    for (const char* target : {"a", "b", "c"}) {
      stream.Add(TargetId(target), Ratios(1));
    }
    stream.EndBlock();
    EXPECT_GT(stream.Strength({}), before);
    before = stream.Strength({});
  }
  EXPECT_DOUBLE_EQ(stream.Strength({.target_limit = 3}), 6);
}

TEST(EvidenceStreamEndBlock, LongHealthyTime_DoesNotHideALaterFault) {
  EvidenceStream stream;
  for (int block = 0; block < 1000; ++block) {
    stream.Add(TargetId("a"), Ratios(-1));
    stream.Add(TargetId("b"), Ratios(-1));
    stream.EndBlock();
  }
  stream.Add(TargetId("a"), Ratios(2));
  stream.Add(TargetId("b"), Ratios(2));
  stream.EndBlock();
  EXPECT_DOUBLE_EQ(stream.Strength({}), 2);
}

TEST(EvidenceStreamForget, TargetOfADeadHost_TakesItsEvidenceBack) {
  EvidenceStream stream;
  stream.Add(TargetId("dead"), Ratios(9));
  stream.Add(TargetId("a"), Ratios(1));
  stream.EndBlock();
  stream.Forget(TargetId("dead"));
  EXPECT_DOUBLE_EQ(stream.Strength({.lone = true}), 1);
}

}  // namespace
}  // namespace camphor

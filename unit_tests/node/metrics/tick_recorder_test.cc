#include "node/metrics/tick_recorder.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(TickRecorderTimes, Empty_AllZero) {
  EXPECT_EQ(TickRecorder().times(), TickTimes());
}

TEST(TickRecorderTimes, SeveralTicks_MeanAndMaximum) {
  TickRecorder recorder;
  for (const int duration : {100, 200, 600}) {
    recorder.Add(Microseconds(duration));
  }
  EXPECT_EQ(recorder.times().count, 3U);
  EXPECT_DOUBLE_EQ(recorder.times().mean_us, 300);
  EXPECT_DOUBLE_EQ(recorder.times().max_us, 600);
}

}  // namespace
}  // namespace camphor

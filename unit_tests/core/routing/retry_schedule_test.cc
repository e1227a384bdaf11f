#include "core/routing/retry_schedule.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

// With one and the same time for all, refused callers return at once and are
// refused again.
TEST(RetryScheduleNext, ManyRefusals_ReturnAtTheRate) {
  RetrySchedule schedule;
  for (int refusal = 1; refusal <= 10; ++refusal)
    EXPECT_EQ(schedule.Next(20, kStart), Milliseconds(50 * refusal));
}

TEST(RetryScheduleNext, LaterRefusal_GetsTheNextPlace) {
  RetrySchedule schedule;
  schedule.Next(20, kStart);
  EXPECT_EQ(schedule.Next(20, kStart + Seconds(5)), Milliseconds(50));
}

TEST(RetryScheduleNext, VeryManyRefusals_AtMostTwoSeconds) {
  RetrySchedule schedule;
  for (int refusal = 0; refusal < 1000; ++refusal) schedule.Next(20, kStart);
  EXPECT_EQ(schedule.Next(20, kStart), Seconds(2));
  EXPECT_EQ(schedule.Next(0.001, kStart), Seconds(2));
}

}  // namespace
}  // namespace camphor

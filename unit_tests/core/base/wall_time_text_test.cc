#include "core/base/wall_time_text.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(ParseWallTime, YearBeyondNanosecondRange_RoundTrips) {
  const auto time = ParseWallTime("4054-03-31T18:00:00Z");
  ASSERT_TRUE(time);
  EXPECT_EQ(FormatWallTime(*time), "4054-03-31T18:00:00Z");
}

TEST(ParseWallTime, HourOutOfRange_IsRejected) {
  EXPECT_FALSE(ParseWallTime("2027-03-31T24:00:00Z"));
}

}  // namespace
}  // namespace camphor

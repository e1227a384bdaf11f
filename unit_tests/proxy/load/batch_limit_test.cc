#include "proxy/load/batch_limit.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

constexpr Milliseconds kShort{1};
constexpr Milliseconds kLong{60};

TEST(BatchLimitOnTurn, TurnsAreShort_StaysAtMost) {
  BatchLimit limit({.most = 8, .longest_turn = Milliseconds(50)});
  limit.OnTurn(kShort);
  EXPECT_EQ(limit.limit(), 8U);
}

TEST(BatchLimitOnTurn, TurnsAreLong_HalvesDownToOne) {
  BatchLimit limit({.most = 8, .longest_turn = Milliseconds(50)});
  limit.OnTurn(kLong);
  EXPECT_EQ(limit.limit(), 4U);
  for (int turn = 0; turn < 10; ++turn) limit.OnTurn(kLong);
  EXPECT_EQ(limit.limit(), 1U);
}

TEST(BatchLimitOnTurn, TurnsAreShortAgain_RisesByOne) {
  BatchLimit limit({.most = 8, .longest_turn = Milliseconds(50)});
  limit.OnTurn(kLong);
  limit.OnTurn(kShort);
  EXPECT_EQ(limit.limit(), 5U);
  for (int turn = 0; turn < 10; ++turn) limit.OnTurn(kShort);
  EXPECT_EQ(limit.limit(), 8U);
}

}  // namespace
}  // namespace camphor

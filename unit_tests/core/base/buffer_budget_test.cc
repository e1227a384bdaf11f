#include "core/base/buffer_budget.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>

#include "core/base/buffer_account.h"

namespace camphor {
namespace {

/// A budget of 100 bytes and three connections that wait for their peers.
class BufferBudgetTest : public testing::Test {
 protected:
  struct Connection {
    bool waits = true;
    std::optional<BufferAccount::Yield> yielded{};
    std::unique_ptr<BufferAccount> account{};
  };

  BufferBudgetTest() {
    for (Connection* const connection : {&first_, &second_, &third_}) {
      connection->account =
          std::make_unique<BufferAccount>(BufferAccount::Options{
              .budget = &budget_,
              .group = connection == &third_ ? 1U : 0U,
              .may_yield = [connection] { return connection->waits; },
              .yield =
                  [connection](BufferAccount::Yield reason) {
                    connection->yielded = reason;
                  }});
      connection->account->BeginHold(Time(0));
    }
  }

  static MonoTime Time(int seconds) {
    return MonoTime(std::chrono::seconds(1000 + seconds));
  }

  BufferBudget budget_{{.bytes = 100}};
  Connection first_;
  Connection second_;
  Connection third_;
};

using BufferBudgetGrow = BufferBudgetTest;
using BufferBudgetYieldConnection = BufferBudgetTest;

TEST_F(BufferBudgetGrow, WithinBudget_NobodyYields) {
  EXPECT_TRUE(first_.account->Grow(60, Time(9)));
  EXPECT_TRUE(second_.account->Grow(40, Time(9)));
  EXPECT_EQ(budget_.used(), 100U);
  EXPECT_FALSE(first_.yielded || second_.yielded);
}

TEST_F(BufferBudgetGrow, ShortBudget_HolderOfMostYields) {
  ASSERT_TRUE(first_.account->Grow(60, Time(0)));
  ASSERT_TRUE(second_.account->Grow(40, Time(0)));
  EXPECT_TRUE(third_.account->Grow(10, Time(9)));
  EXPECT_EQ(first_.yielded, BufferAccount::Yield::kBuffers);
  EXPECT_FALSE(second_.yielded);
  EXPECT_EQ(budget_.used(), 50U);
}

// Guards against strangers that displace the connections of hosts.
TEST_F(BufferBudgetGrow, GroupIsSpared_OthersYieldInstead) {
  ASSERT_TRUE(third_.account->Grow(80, Time(0)));
  ASSERT_TRUE(second_.account->Grow(10, Time(0)));
  first_.account->SpareGroup(1);
  EXPECT_TRUE(first_.account->Grow(20, Time(9)));
  EXPECT_TRUE(second_.yielded);
  EXPECT_FALSE(first_.account->Grow(20, Time(9)));
  EXPECT_FALSE(third_.yielded);
}

TEST_F(BufferBudgetGrow, GroupChanged_NoLongerSpares) {
  ASSERT_TRUE(third_.account->Grow(80, Time(0)));
  first_.account->SpareGroup(1);
  first_.account->SetGroup(1);
  EXPECT_TRUE(first_.account->Grow(40, Time(9)));
  EXPECT_TRUE(third_.yielded);
}

// Guards against giving bytes back twice: when a connection yields, and when
// its buffers are destroyed.
TEST_F(BufferBudgetGrow, AfterYield_ReleaseChangesNothing) {
  {
    BufferAccount::Charge charge(*first_.account);
    ASSERT_TRUE(charge.Grow(60, Time(0)));
    ASSERT_TRUE(second_.account->Grow(80, Time(9)));
    EXPECT_FALSE(charge.Grow(1, Time(9)));
  }
  EXPECT_EQ(budget_.used(), 80U);
}

TEST_F(BufferBudgetGrow, HolderThatProgresses_OtherYields) {
  ASSERT_TRUE(first_.account->Grow(60, Time(0)));
  first_.account->OnProgress(1000);
  ASSERT_TRUE(second_.account->Grow(40, Time(0)));
  second_.account->OnProgress(10);
  EXPECT_TRUE(third_.account->Grow(10, Time(9)));
  EXPECT_FALSE(first_.yielded);
  EXPECT_TRUE(second_.yielded);
}

TEST_F(BufferBudgetGrow, HolderForLonger_Yields) {
  second_.account->BeginHold(Time(6));
  ASSERT_TRUE(first_.account->Grow(50, Time(6)));
  ASSERT_TRUE(second_.account->Grow(50, Time(6)));
  EXPECT_TRUE(third_.account->Grow(10, Time(9)));
  EXPECT_TRUE(first_.yielded);
  EXPECT_FALSE(second_.yielded);
}

// Guards against closing connections whose requests run, and bursts that
// displace their own requests.
TEST_F(BufferBudgetGrow, HoldersRunOrAreRecent_Refused) {
  ASSERT_TRUE(first_.account->Grow(60, Time(0)));
  first_.waits = false;
  ASSERT_TRUE(second_.account->Grow(40, Time(9)));
  second_.account->BeginHold(Time(9));
  EXPECT_FALSE(third_.account->Grow(10, Time(9)));
  EXPECT_FALSE(first_.yielded || second_.yielded);
  EXPECT_EQ(budget_.used(), 100U);
}

TEST_F(BufferBudgetGrow, MoreThanBudget_RefusedAndNobodyYields) {
  ASSERT_TRUE(first_.account->Grow(60, Time(0)));
  EXPECT_FALSE(second_.account->Grow(101, Time(9)));
  EXPECT_FALSE(first_.yielded);
}

TEST_F(BufferBudgetYieldConnection, Group_OnlyItsConnectionsYield) {
  ASSERT_TRUE(first_.account->Grow(10, Time(0)));
  ASSERT_TRUE(third_.account->Grow(60, Time(0)));
  EXPECT_TRUE(budget_.YieldConnection(0, Time(9)));
  EXPECT_EQ(first_.yielded, BufferAccount::Yield::kPlace);
  EXPECT_FALSE(third_.yielded);
  EXPECT_FALSE(budget_.YieldConnection(0, Time(9)));
}

}  // namespace
}  // namespace camphor

#include "core/replication/poison_record.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

class PoisonRecordTest : public testing::Test {
 protected:
  void Die(const std::string& target, WallTime at) {
    record_ = PoisonRecord::Merge(
        record_, {.fingerprint = 1, .deaths = {{at, TargetId(target)}}});
  }

  const WallTime start_{hours(1000)};
  PoisonRecord record_{.fingerprint = 1};
};

using PoisonRecordBlock = PoisonRecordTest;

TEST_F(PoisonRecordBlock, OneDeath_IsNotBlockedAndForgottenSoon) {
  Die("a", start_);
  EXPECT_EQ(record_.BlockedUntil(), WallTime());
  EXPECT_EQ(record_.Expires(), start_ + minutes(10));
}

// Guards against a target that starts again under its id and counts once.
TEST_F(PoisonRecordBlock, SameTargetDiesTwice_IsBlocked) {
  Die("a", start_);
  Die("a", start_ + minutes(1));
  EXPECT_EQ(record_.BlockedUntil(), start_ + minutes(11));
}

// Guards against two more deaths whenever a record has expired.
TEST_F(PoisonRecordBlock, DeathAfterTheBlock_BlocksForTwiceAsLong) {
  Die("a", start_);
  Die("b", start_);
  WallTime now = record_.BlockedUntil();
  EXPECT_GT(record_.Expires(), now + hours(23));
  Die("c", now);
  EXPECT_EQ(record_.BlockedUntil(), now + minutes(20));
  now = record_.BlockedUntil();
  Die("a", now);
  EXPECT_EQ(record_.BlockedUntil(), now + minutes(40));
}

TEST_F(PoisonRecordBlock, ManyDeaths_RecordAndBlockStayBounded) {
  for (int death = 0; death < 100; ++death) Die("a", start_ + hours(death));
  EXPECT_LE(record_.deaths.size(), 8U);
  EXPECT_EQ(record_.deaths.rbegin()->at, start_ + hours(99));
  EXPECT_LE(record_.BlockedUntil(), start_ + hours(99 + 11));
  EXPECT_GT(record_.BlockedUntil(), start_ + hours(99 + 10));
}

}  // namespace
}  // namespace camphor

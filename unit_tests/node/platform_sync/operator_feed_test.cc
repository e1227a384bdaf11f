#include "node/platform_sync/operator_feed.h"

#include <gtest/gtest.h>

#include <vector>

#include "unit_tests/store/fake_platform.h"

namespace camphor {
namespace {

using Fault = FakePlatform::Fault;

// The feed against a platform whose calls the test ends; the decisions thread
// is the test's own.
class OperatorFeedTest : public testing::Test {
 protected:
  void Tick(bool feeder, Milliseconds later = Milliseconds(0)) {
    now_ += later;
    feed_.Tick(feeder, now_);
  }

  std::vector<std::uint64_t> taken_;
  FakePlatform platform_;
  LogSink log_{{.write = [](const std::string&) {}}};
  MonoTime now_{Seconds(100)};
  OperatorFeed feed_{
      {.table = "op",
       .platform = &platform_,
       .log = &log_,
       .gather = Milliseconds(200),
       .decode = [](const std::map<std::string, TableRow>& rows,
                    std::string& reason) -> std::optional<ConfigSnapshot> {
         ConfigSnapshot snapshot;
         for (const auto& [key, row] : rows) {
           if (row.value == "malformed") {
             reason = "malformed";
             return std::nullopt;
           }
           snapshot.head.version =
               std::max(snapshot.head.version, row.revision);
         }
         return snapshot;
       },
       .take =
           [this](const ConfigSnapshot& snapshot) {
             taken_.push_back(snapshot.head.version);
           },
       .post = [](const std::function<void()>& task) { task(); }}};
};

TEST_F(OperatorFeedTest, Start_ReadsTheTableOnAnyHost) {
  platform_.Put("op", "config", "a");
  Tick(false);
  platform_.Run();
  EXPECT_EQ(taken_, std::vector<std::uint64_t>{1});
}

TEST_F(OperatorFeedTest, HostThatIsNoFeeder_AsksNoMore) {
  platform_.Put("op", "config", "a");
  Tick(false);
  platform_.Run();
  Tick(false, Seconds(60));
  EXPECT_EQ(platform_.waiting(), 0U);
}

TEST_F(OperatorFeedTest, Feeder_TakesEachChange) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  Tick(true, Seconds(1));
  ASSERT_EQ(platform_.waiting(), 1U);
  platform_.Put("op", "config", "b");
  platform_.Run();
  EXPECT_EQ(taken_, (std::vector<std::uint64_t>{1, 2}));
}

TEST_F(OperatorFeedTest, ChangesThatFollowClosely_AreGatheredInOneCall) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  for (int change = 0; change < 5; ++change) {
    platform_.Put("op", "config", "b");
    Tick(true, Milliseconds(20));
  }
  EXPECT_EQ(platform_.waiting(), 0U);
  Tick(true, Milliseconds(200));
  platform_.Run();
  EXPECT_EQ(taken_, (std::vector<std::uint64_t>{1, 6}));
}

TEST_F(OperatorFeedTest, HistoryDropped_ReadsTheWholeTable) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "b");
  platform_.DropHistory();
  Tick(true, Seconds(1));
  platform_.Run();
  Tick(true);
  platform_.Run();
  EXPECT_EQ(taken_, (std::vector<std::uint64_t>{1, 2}));
}

TEST_F(OperatorFeedTest, PlatformOut_IsAskedAgainLaterAndNotSooner) {
  Tick(true);
  platform_.Step(Fault::kRefused);
  EXPECT_FALSE(feed_.reachable());
  Tick(true);
  EXPECT_EQ(platform_.waiting(), 0U);
  platform_.Put("op", "config", "a");
  Tick(true, Seconds(3));
  platform_.Run();
  EXPECT_TRUE(feed_.reachable());
  EXPECT_EQ(taken_, std::vector<std::uint64_t>{1});
}

TEST_F(OperatorFeedTest, CallsFailForAWhile_CountsAsLostUntilAnswered) {
  Tick(true);
  platform_.Step(Fault::kRefused);
  EXPECT_FALSE(feed_.lost(now_));
  Tick(true, Milliseconds(400));
  platform_.Step(Fault::kRefused);
  EXPECT_TRUE(feed_.lost(now_));
  // A host that asks no more is worth a try again after a while.
  EXPECT_FALSE(feed_.lost(now_ + Seconds(10)));
  platform_.Put("op", "config", "a");
  Tick(true, Seconds(3));
  platform_.Run();
  EXPECT_FALSE(feed_.lost(now_));
}

TEST_F(OperatorFeedTest, MalformedRow_LeavesTheLastSnapshotInForce) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "malformed");
  Tick(true, Seconds(1));
  platform_.Run();
  EXPECT_EQ(taken_, std::vector<std::uint64_t>{1});
  platform_.Put("op", "config", "c");
  Tick(true, Seconds(1));
  platform_.Run();
  EXPECT_EQ(taken_, (std::vector<std::uint64_t>{1, 3}));
}

}  // namespace
}  // namespace camphor

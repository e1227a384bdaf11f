#include "node/platform_sync/operator_feed.h"

#include <gtest/gtest.h>

#include <vector>

#include "unit_tests/store/fake_platform.h"

namespace camphor {
namespace {

using Fault = FakePlatform::Fault;

// An OperatorFeed on a fake platform; the test controls when calls complete and
// acts as the decisions thread.
class OperatorFeedTest : public testing::Test {
 protected:
  void Tick(bool watcher, Milliseconds later = Milliseconds(0)) {
    now_ += later;
    feed_.Tick(watcher, now_);
  }

  // A proof of freshness, and whether the snapshot it is about came before it.
  struct Proof {
    MonoTime started{};
    ConfigVersion version = 0;
    std::size_t snapshots_before = 0;
  };

  MonoTime BootNow() const { return now_ + kSuspended; }

  static constexpr Seconds kSuspended{5000};  // time that only the boot clock
                                              // counts
  std::vector<Proof> proofs_;
  std::vector<std::uint64_t> versions_;
  ConfigHead active_{};  ///< in force on this host; never goes back
  std::string config_;   ///< the configuration row that was decoded last
  FakePlatform platform_;
  LogSink log_{{.write = [](const std::string&) {}}};
  MonoTime now_{Seconds(100)};
  OperatorFeed feed_{
      {.table = "op",
       .platform = &platform_,
       .log = &log_,
       .batch_delay = Milliseconds(200),
       .strict_watch_timeout = Milliseconds(625),
       .strict_max_retry = Milliseconds(312),
       .decode = [this](const std::map<std::string, TableRow>& rows,
                        std::string& reason) -> std::optional<ConfigSnapshot> {
         ConfigSnapshot snapshot;
         std::string content;
         config_ = rows.contains("config") ? rows.at("config").value : "";
         for (const auto& [key, row] : rows) {
           if (row.value == "malformed") {
             reason = "malformed";
             return std::nullopt;
           }
           snapshot.head.version =
               std::max(snapshot.head.version, row.revision);
           content += key + "=" + row.value + ";";
         }
         snapshot.head.digest = Digest::Of(content);
         return snapshot;
       },
       .on_snapshot =
           [this](const ConfigSnapshot& snapshot) {
             versions_.push_back(snapshot.head.version);
             if (snapshot.head.version > active_.version)
               active_ = snapshot.head;
           },
       .active_head = [this] { return active_; },
       .post = [](const std::function<void()>& task) { task(); },
       .boot_now = [this] { return BootNow(); },
       .on_proof =
           [this](MonoTime started, ConfigVersion version) {
             proofs_.push_back({.started = started,
                                .version = version,
                                .snapshots_before = versions_.size()});
           }}};
};

TEST_F(OperatorFeedTest, Start_ReadsTableOnAnyHost) {
  platform_.Put("op", "config", "a");
  Tick(false);
  platform_.Run();
  EXPECT_EQ(versions_, std::vector<std::uint64_t>{1});
}

TEST_F(OperatorFeedTest, NonWatcher_StopsReadingAfterStart) {
  platform_.Put("op", "config", "a");
  Tick(false);
  platform_.Run();
  Tick(false, Seconds(60));
  EXPECT_EQ(platform_.waiting(), 0U);
}

TEST_F(OperatorFeedTest, Watcher_ReceivesEachChange) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  Tick(true, Seconds(1));
  ASSERT_EQ(platform_.waiting(), 1U);
  platform_.Put("op", "config", "b");
  platform_.Run();
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{1, 2}));
}

TEST_F(OperatorFeedTest, ChangesInQuickSuccession_AreBatchedInOneCall) {
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
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{1, 6}));
}

TEST_F(OperatorFeedTest, HistoryCompacted_ReadsWholeTable) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "b");
  platform_.DropHistory();
  Tick(true, Seconds(1));
  platform_.Run();
  Tick(true);
  platform_.Run();
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{1, 2}));
}

TEST_F(OperatorFeedTest, PlatformUnavailable_RetriesAfterBackoffOnly) {
  Tick(true);
  platform_.Step(Fault::kRefused);
  EXPECT_FALSE(feed_.reachable());
  Tick(true);
  EXPECT_EQ(platform_.waiting(), 0U);
  platform_.Put("op", "config", "a");
  Tick(true, Seconds(3));
  platform_.Run();
  EXPECT_TRUE(feed_.reachable());
  EXPECT_EQ(versions_, std::vector<std::uint64_t>{1});
}

TEST_F(OperatorFeedTest, RepeatedFailures_LostUntilNextSuccess) {
  Tick(true);
  platform_.Step(Fault::kRefused);
  EXPECT_FALSE(feed_.lost(now_));
  Tick(true, Milliseconds(400));
  platform_.Step(Fault::kRefused);
  EXPECT_TRUE(feed_.lost(now_));
  // Some time after its last call, the host is eligible as a watcher again.
  EXPECT_FALSE(feed_.lost(now_ + Seconds(10)));
  platform_.Put("op", "config", "a");
  Tick(true, Seconds(3));
  platform_.Run();
  EXPECT_FALSE(feed_.lost(now_));
}

// The bound within which a host that reaches the platform serves a change.
constexpr Milliseconds kConfigBound{2000};

TEST_F(OperatorFeedTest, PlatformSilentDuringWatch_IsNoticedWithinBound) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  Tick(true, Seconds(1));
  ASSERT_EQ(platform_.waiting(), 1U);
  EXPECT_LT(platform_.last_watch_wait(), kConfigBound);
}

TEST_F(OperatorFeedTest, WatchTimesOut_IsLostAtOnce) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  Tick(true, Seconds(1));
  Tick(true, platform_.last_watch_wait() + Seconds(1));
  platform_.Step(Fault::kRequestLost);
  EXPECT_TRUE(feed_.lost(now_));
}

TEST_F(OperatorFeedTest, WatchTimedOut_NextCallDoesNotWait) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  Tick(true, Seconds(1));
  platform_.Step(Fault::kRequestLost);
  Tick(true, Seconds(1));
  ASSERT_EQ(platform_.waiting(), 1U);
  EXPECT_EQ(platform_.last_watch_wait(), Milliseconds(0));
}

TEST_F(OperatorFeedTest, TableReadOlderThanKnownRows_IsDiscarded) {
  platform_.Put("op", "config", "a");
  platform_.HoldReads();
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "b");
  Tick(true, Seconds(1));
  platform_.Run();
  ASSERT_EQ(config_, "b");
  feed_.RequestFullRead();
  Tick(true, Seconds(1));
  platform_.Run();
  platform_.ReleaseReads();
  platform_.Put("op", "rollout/p", "order");
  for (int tick = 0; tick < 3; ++tick) {
    Tick(true, Seconds(1));
    platform_.Run();
  }
  EXPECT_EQ(config_, "b");
  EXPECT_EQ(versions_.back(), 3U);
}

TEST_F(OperatorFeedTest, SuccessfulCall_ProvesFreshnessAsOfItsStart) {
  platform_.Put("op", "config", "a");
  Tick(true);
  const MonoTime read_started = BootNow();
  now_ += Seconds(2);
  platform_.Run();
  ASSERT_EQ(proofs_.size(), 1U);
  EXPECT_EQ(proofs_[0].started, read_started);
  EXPECT_EQ(proofs_[0].version, 1U);
  // The configuration is known before the proof about it.
  EXPECT_EQ(proofs_[0].snapshots_before, 1U);

  // A watch that ends without a change proves freshness too, as of its start.
  Tick(true, Seconds(1));
  const MonoTime watch_started = BootNow();
  now_ += Seconds(1);
  platform_.Run();
  ASSERT_EQ(proofs_.size(), 2U);
  EXPECT_EQ(proofs_[1].started, watch_started);
  EXPECT_EQ(proofs_[1].version, 1U);
}

TEST_F(OperatorFeedTest, FailedCall_ProvesNothing) {
  Tick(true);
  platform_.Step(Fault::kRefused);
  Tick(true, Seconds(3));
  platform_.Step(Fault::kResponseLost);
  EXPECT_TRUE(proofs_.empty());
}

TEST_F(OperatorFeedTest, CompactedHistory_ProvesNothingUntilTableIsRead) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "b");
  platform_.DropHistory();
  Tick(true, Seconds(1));
  platform_.Run();
  ASSERT_EQ(proofs_.size(), 1U);
  Tick(true);
  platform_.Run();
  ASSERT_EQ(proofs_.size(), 2U);
  EXPECT_EQ(proofs_[1].version, 2U);
}

TEST_F(OperatorFeedTest, StaleTableRead_ProvesNothing) {
  platform_.Put("op", "config", "a");
  platform_.HoldReads();
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "b");
  Tick(true, Seconds(1));
  platform_.Run();
  const std::size_t before = proofs_.size();
  feed_.RequestFullRead();
  Tick(true, Seconds(1));
  platform_.Run();
  EXPECT_EQ(proofs_.size(), before);
}

// The configuration in force stays the newest valid one, so it is as fresh as
// the call that found the invalid one.
TEST_F(OperatorFeedTest, InvalidConfiguration_ProvesThePreviousVersion) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "malformed");
  Tick(true, Seconds(1));
  platform_.Run();
  ASSERT_EQ(proofs_.size(), 2U);
  EXPECT_EQ(proofs_[1].version, 1U);
}

TEST_F(OperatorFeedTest, StrictRevocation_ShortensWatchesAndRetries) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  Tick(true, Seconds(1));
  EXPECT_EQ(platform_.last_watch_wait(), Milliseconds(1500));
  platform_.Run();
  feed_.SetStrict(true);
  Tick(true, Seconds(1));
  EXPECT_EQ(platform_.last_watch_wait(), Milliseconds(625));
  for (int failure = 0; failure < 10; ++failure) {
    platform_.Step(Fault::kRefused);
    Tick(true, Milliseconds(312));
    ASSERT_EQ(platform_.waiting(), 1U) << failure;
  }
}

TEST_F(OperatorFeedTest, ProofRequested_NonWatcherMakesOneImmediateCall) {
  platform_.Put("op", "config", "a");
  Tick(false);
  platform_.Run();
  platform_.Put("op", "config", "b");
  feed_.RequestProof();
  Tick(false, Seconds(1));
  EXPECT_EQ(platform_.last_watch_wait(), Milliseconds(0));
  platform_.Run();
  ASSERT_EQ(proofs_.size(), 2U);
  EXPECT_EQ(proofs_[1].version, 2U);
  Tick(false, Seconds(60));
  EXPECT_EQ(platform_.waiting(), 0U);
}

TEST_F(OperatorFeedTest, MalformedRow_KeepsPreviousSnapshot) {
  platform_.Put("op", "config", "a");
  Tick(true);
  platform_.Run();
  platform_.Put("op", "config", "malformed");
  Tick(true, Seconds(1));
  platform_.Run();
  EXPECT_EQ(versions_, std::vector<std::uint64_t>{1});
  platform_.Put("op", "config", "c");
  Tick(true, Seconds(1));
  platform_.Run();
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{1, 3}));
}

// Without the revision of the removal, the version stays and no host takes over
// the end of an evacuation.
TEST_F(OperatorFeedTest, WatcherSeesRemovedRow_RaisesVersion) {
  platform_.Put("op", "config", "a");
  platform_.Put("op", "evacuate/d", "{}");
  Tick(true);
  platform_.Run();
  Tick(true, Seconds(1));
  platform_.Remove("op", "evacuate/d");
  platform_.Run();
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{2, 3}));
  // A later change keeps the version that the removal gave.
  Tick(true, Seconds(1));
  platform_.Put("op", "config", "b");
  platform_.Run();
  EXPECT_EQ(versions_.back(), 4U);
}

TEST_F(OperatorFeedTest, RowRemovedBetweenTwoReads_RaisesVersion) {
  platform_.Put("op", "config", "a");
  platform_.Put("op", "evacuate/d", "{}");
  Tick(true);
  platform_.Run();
  platform_.Remove("op", "evacuate/d");
  platform_.Put("other", "row", "x");
  platform_.DropHistory();
  Tick(true, Seconds(1));
  platform_.Run();
  Tick(true);
  platform_.Run();
  EXPECT_EQ(versions_.back(), 4U);
  EXPECT_EQ(active_.version, 4U);
}

// A host that starts after the removal reads a lower revision than that of the
// configuration which the other hosts still have in force.
TEST_F(OperatorFeedTest, OtherHostsServeRemovedRow_RaisesVersion) {
  platform_.Put("op", "config", "a");
  platform_.Put("op", "evacuate/d", "{}");
  platform_.Remove("op", "evacuate/d");
  Tick(false);
  platform_.Run();
  EXPECT_EQ(versions_, std::vector<std::uint64_t>{1});
  active_ = {.version = 2, .digest = Digest::Of("config=a;evacuate/d={};")};
  Tick(false, Milliseconds(10));
  EXPECT_EQ(versions_, (std::vector<std::uint64_t>{1, 3}));
  Tick(false, Milliseconds(10));
  EXPECT_EQ(versions_.size(), 2U);
}

// A host with an old copy of the rows must not undo a newer configuration.
TEST_F(OperatorFeedTest, OtherHostsServeLaterRevision_KeepsIt) {
  platform_.Put("op", "config", "a");
  Tick(false);
  platform_.Run();
  active_ = {.version = 2, .digest = Digest::Of("config=b;")};
  Tick(false, Milliseconds(10));
  EXPECT_EQ(versions_, std::vector<std::uint64_t>{1});
}

TEST_F(OperatorFeedTest, OtherHostsServeSameContent_KeepsVersion) {
  platform_.Put("op", "config", "a");
  platform_.Put("other", "row", "x");
  platform_.Put("other", "row", "y");
  Tick(false);
  platform_.Run();
  active_ = {.version = 2, .digest = Digest::Of("config=a;")};
  Tick(false, Milliseconds(10));
  EXPECT_EQ(versions_, std::vector<std::uint64_t>{1});
}

}  // namespace
}  // namespace camphor

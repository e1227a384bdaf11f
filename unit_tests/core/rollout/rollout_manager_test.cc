#include "core/rollout/rollout_manager.h"

#include "unit_tests/core/rollout/rollout_fixture.h"

namespace camphor {
namespace {

using RolloutManagerTest = RolloutFixture;

TEST_F(RolloutManagerTest, GoodVersion_CompletesInTimeAndEndsOnce) {
  Run(kRolloutTime.count(), NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kBake);
  Run(kBake.count() + 10, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
  EXPECT_EQ(RecordOf("h0").share_ppm, 1'000'000U);
  Run(60, NewVersionFails);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
  EXPECT_EQ(CountEnds(), 1);
}

TEST_F(RolloutManagerTest, BadVersion_IsRolledBackAtSmallShareWithReason) {
  Run(120, NewVersionFails);
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_LT(new_requests_ * 100, old_requests_);
  const RolloutReason reason = RecordOf("h0").reason;
  EXPECT_EQ(reason.signal, "failures");
  EXPECT_GT(reason.new_requests, 0U);
  EXPECT_GT(reason.old_requests, 0U);
  EXPECT_NE(reason.sentence.find("failed at the new version"),
            std::string::npos);
  const std::uint64_t before = new_requests_;
  Run(60, NewVersionFails);
  EXPECT_EQ(new_requests_, before);
  EXPECT_EQ(CountEnds(), 1);
}

TEST_F(RolloutManagerTest, FailureDuringBake_IsRolledBackQuickly) {
  Run(kRolloutTime.count(), NeverFails);
  ASSERT_EQ(Stage(), RolloutStage::kBake);
  Run(10, NewVersionFails);
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
}

TEST_F(RolloutManagerTest, OneBadHost_IsNotRolledBack) {
  Run(kRolloutTime.count() + kBake.count() + 80,
      [](bool is_new, const std::string& host) {
        return is_new && host == "h3";
      });
  EXPECT_EQ(Stage(), RolloutStage::kDone);
}

TEST_F(RolloutManagerTest, OwnerRestartsWithoutState_Continues) {
  Run(100, NeverFails);
  ASSERT_EQ(Stage(), RolloutStage::kCanary);
  const std::string owner = Owner();
  StartHost(owner);
  Reconnect(owner);
  EXPECT_EQ(Stage(), RolloutStage::kCanary);
  Run(60, NewVersionFails);
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
}

TEST_F(RolloutManagerTest, AllHostsLoseState_RestartsWithOldVersion) {
  Run(550, NeverFails);
  ASSERT_GE(Stage(), RolloutStage::kRamp);
  for (int host = 0; host < kHosts; ++host) {
    StartHost("h" + std::to_string(host));
  }
  const std::uint64_t before = new_requests_;
  Run(2, NewVersionFails);
  EXPECT_EQ(Stage(), RolloutStage::kPending);
  EXPECT_EQ(new_requests_, before);
}

TEST_F(RolloutManagerTest, TwoOwnersAtOnce_RolledBackWins) {
  Run(100, NeverFails);
  // A second host considers itself the owner, since it sees no other host.
  const std::string owner = Owner();
  const std::string second = owner == "h0" ? "h1" : "h0";
  hosts_.at(second).disconnected = true;
  std::map<HostId, HostRecord> own_view = MakeHostRecords();
  for (auto& [host, record] : own_view) {
    if (host.value() != second) record.status = HostStatus::kSuspect;
  }
  hosts_.at(second).manager->SetHosts(own_view);
  Run(400, NeverFails);
  EXPECT_GT(RecordOf(second).share_ppm, RecordOf(owner).share_ppm / 4);
  hosts_.at(second).manager->Abort(id_, wall_);
  Reconnect(second);
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  const std::uint64_t before = new_requests_;
  Run(60, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_EQ(new_requests_, before);
}

TEST_F(RolloutManagerTest,
       OwnerResumesAfterLongPause_ChangesNothingImmediately) {
  Run(100, NeverFails);
  const std::string owner = Owner();
  hosts_.at(owner).paused = true;
  hosts_.at(owner).disconnected = true;
  Run(300, NeverFails);
  // Another host aborts the rollout; the owner resumes with its old state.
  const std::string other = owner == "h0" ? "h1" : "h0";
  ASSERT_TRUE(hosts_.at(other).manager->Abort(id_, wall_));
  hosts_.at(owner).paused = false;
  const RolloutRecord known = RecordOf(owner);
  Run(3, NeverFails);
  EXPECT_EQ(RecordOf(owner), known);
  Reconnect(owner);
  Run(30, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
}

TEST_F(RolloutManagerTest, DisconnectedHostWithBadVersion_EjectsLocally) {
  Run(100, NeverFails);
  const std::string name = Owner() == "h0" ? "h1" : "h0";
  Host& host = hosts_.at(name);
  host.disconnected = true;
  host.records[id_].share_ppm = 200'000;
  host.records[id_].route_shares.clear();
  Run(10, NewVersionFails);
  EXPECT_GE(host.routing_changes, 1);
  EXPECT_EQ(host.manager->locally_ejected().size(), 1U);
  EXPECT_EQ(host.routing->routes[0].new_share_ppm, 0U);
}

TEST_F(RolloutManagerTest, NoTargetsAtDeadline_IsRolledBack) {
  hide_new_targets_ = true;
  for (auto& [name, host] : hosts_) host.manager->SetHosts(MakeHostRecords());
  Run(kRolloutTime.count() + 10, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_EQ(RecordOf("h0").reason.signal, "targets");
}

TEST_F(RolloutManagerTest, Abort_RollsBackOnAllHostsOnce) {
  Run(100, NeverFails);
  EXPECT_TRUE(hosts_.at("h2").manager->Abort(id_, wall_));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  EXPECT_EQ(RecordOf("h0").reason.signal, "operator");
  EXPECT_FALSE(hosts_.at("h1").manager->Abort(id_, wall_));
  EXPECT_FALSE(hosts_.at("h1").manager->Abort(RolloutId("unknown"), wall_));
}

TEST_F(RolloutManagerTest, Hurry_CompletesMuchEarlier) {
  Run(20, NeverFails);
  EXPECT_TRUE(hosts_.at("h2").manager->Hurry(id_));
  Run(200, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
}

TEST_F(RolloutManagerTest, RemovedFromConfig_DropsRollout) {
  Run(100, NeverFails);
  RolloutManager& manager = *hosts_.at("h0").manager;
  EXPECT_NE(manager.DumpJson().find("canary"), std::string::npos);
  EXPECT_NE(manager.DumpJson().find("old_requests"), std::string::npos);
  manager.SetConfig(std::make_shared<ConfigSnapshot>());
  EXPECT_EQ(manager.DumpJson(), "[]");
  EXPECT_FALSE(manager.Abort(id_, wall_));
}

TEST_F(RolloutManagerTest, RecordBeforeConfig_IsKept) {
  RolloutManager manager({.host = HostId("late"), .incarnation = 1});
  manager.OnRecord({.id = id_, .stage = RolloutStage::kRolledBack});
  manager.SetConfig(snapshot_);
  EXPECT_FALSE(manager.Abort(id_, wall_));
}

}  // namespace
}  // namespace camphor

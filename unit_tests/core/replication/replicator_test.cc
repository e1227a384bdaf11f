#include "core/replication/replicator.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "core/config/config_codec.h"
#include "unit_tests/core/replication/fake_mesh.h"

namespace camphor {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

TEST(ReplicatorDissemination, LostRepeatedAndReorderedMessages_AllConverge) {
  EXPECT_TRUE(rc::check([] {
    FakeMesh mesh({.hosts = 12,
                   .seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000),
                   .loss = 0.15,
                   .repeat = 0.1,
                   .longest_delay = 300ms});
    RC_ASSERT(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
    for (int change = 0; change < 4; ++change) {
      mesh.Accept(*rc::gen::inRange(0, 12));
      mesh.Run(Milliseconds(*rc::gen::inRange(0, 500)));
    }
    const bool all = mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 19s);
    RC_LOG() << mesh.DescribeStaleHosts();
    RC_ASSERT(all);
    RC_ASSERT(mesh.reversions() == 0);
  }));
}

// Control for the test above: without repair, message loss leaves hosts stale.
TEST(ReplicatorDissemination, PushWithoutRepair_LeavesHostsStale) {
  ReplicatorSettings settings;
  settings.mode = DisseminationMode::kPushOnly;
  constexpr int kRuns = 200;
  int behind = 0;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    FakeMesh mesh(
        {.hosts = 12, .seed = seed, .loss = 0.5, .settings = settings});
    mesh.Run(10s);
    mesh.Accept(0);
    if (!mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 19s)) ++behind;
  }
  // More than 1 in 20 runs.
  EXPECT_GT(20 * behind, kRuns);
}

TEST(ReplicatorDissemination, PlatformOutAfterAcceptance_AllServeIt) {
  FakeMesh mesh({.hosts = 24});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.Accept(5);
  mesh.Run(50ms);
  mesh.SetPlatformOut(true);
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 2s));
}

TEST(ReplicatorDissemination, ThirdOfHostsRestartTogether_AllServeNewest) {
  FakeMesh mesh({.hosts = 30});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  for (int host = 0; host < 10; ++host) mesh.Kill(host);
  mesh.Accept(20);
  mesh.Run(1s);
  for (int host = 0; host < 10; ++host) mesh.Start(host);
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 19s));
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 60s));
  EXPECT_EQ(mesh.reversions(), 0);
}

TEST(ReplicatorOnMessage, OldSnapshotFromStalePeer_IsNotServed) {
  FakeMesh mesh({});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.Accept(0);
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 5s));
  const ConfigSnapshot old = *mesh.at(1).snapshot();
  mesh.Accept(0);
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 5s));
  mesh.Inject(
      1, 2, SnapshotReply{.head = old.head, .bytes = ConfigCodec::Encode(old)});
  EXPECT_EQ(mesh.served(2), 2U);
}

TEST(ReplicatorOnMessage, SnapshotWithWrongDigest_IsNotServed) {
  FakeMesh mesh({});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.Accept(0);
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 5s));
  const ConfigHead head{.version = 9, .digest = Digest::Of("other")};
  mesh.Inject(
      1, 2,
      SnapshotReply{.head = head,
                    .bytes = ConfigCodec::Encode(*mesh.at(1).snapshot())});
  mesh.Inject(1, 2,
              SnapshotReply{.head = head,
                            .base = mesh.at(1).snapshot()->head,
                            .bytes = "{\"removed_pools\": [\"p\"]}"});
  EXPECT_EQ(mesh.served(2), 1U);
}

// Hosts of all failure domains restart while the platform is unavailable.
TEST(ReplicatorColdStart, RestartsDuringPlatformOutage_NeverServeOlderVersion) {
  EXPECT_TRUE(rc::check([] {
    FakeMesh mesh({.hosts = 12,
                   .seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000),
                   .loss = 0.05});
    RC_ASSERT(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
    mesh.Accept(0);
    RC_ASSERT(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 19s));
    mesh.SetPlatformOut(true);
    for (int round = 0; round < 6; ++round) {
      const int host = *rc::gen::inRange(0, 12);
      mesh.Kill(host);
      mesh.Run(Milliseconds(*rc::gen::inRange(0, 2000)));
      mesh.Start(host);
      mesh.Run(Milliseconds(*rc::gen::inRange(0, 2000)));
    }
    const bool all = mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 60s);
    RC_LOG() << mesh.DescribeStaleHosts();
    RC_ASSERT(all);
    RC_ASSERT(mesh.reversions() == 0);
  }));
}

// Simulates a host that restarts after serving the newest version and can reach
// only a failure domain that never received it. Returns the number of
// reversions; `served` is set to whether the host became ready. `domains_asked`
// is the setting under test.
int ReversionsBehindPartition(std::uint32_t domains_asked, bool& served) {
  ReplicatorSettings settings;
  settings.cold_start_domains = domains_asked;
  FakeMesh mesh({.hosts = 9, .settings = settings});
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.Accept(0);
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 19s));

  // Isolate the hosts of d0 and distribute newer versions to the others.
  const auto isolated = [](int host) { return host % 3 == 0; };
  mesh.SetPlatformOut(true);
  mesh.Partition(
      [&](int from, int to) { return isolated(from) != isolated(to); });
  mesh.Accept(1);
  mesh.SetPlatformOut(false);
  mesh.Accept(-1);
  mesh.at(1).OnPlatformHead(mesh.Accept(-1), mesh.now());
  mesh.Run(100ms);
  mesh.SetPlatformOut(true);
  mesh.Run(3s);
  EXPECT_EQ(mesh.served(4), 4U);
  EXPECT_EQ(mesh.served(3), 1U);

  // Host 4 restarts with empty memory and can reach only the hosts of d0.
  mesh.Kill(4);
  mesh.Partition([&](int from, int to) {
    const bool involves_host4 = from == 4 || to == 4;
    const bool stale_side = isolated(from) || isolated(to);
    return involves_host4 ? !stale_side : isolated(from) != isolated(to);
  });
  mesh.Start(4);
  mesh.Run(20s);
  served = mesh.at(4).ready();
  const int reversions = mesh.reversions();
  mesh.Heal();
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 60s));
  return reversions;
}

TEST(ReplicatorColdStart, OnlyStaleFailureDomainReachable_DoesNotServe) {
  bool served = true;
  EXPECT_EQ(ReversionsBehindPartition(2, served), 0);
  EXPECT_FALSE(served);
}

TEST(ReplicatorColdStart, SingleFailureDomainRequired_ServesOlderVersion) {
  bool served = false;
  EXPECT_EQ(ReversionsBehindPartition(1, served), 1);
  EXPECT_TRUE(served);
}

TEST(ReplicatorColdStart,
     AllHostsRestartDuringPlatformOutage_ServeAfterItEnds) {
  FakeMesh mesh({.hosts = 6});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.Accept(0);
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 19s));
  mesh.SetPlatformOut(true);
  for (int host = 0; host < 6; ++host) mesh.Kill(host);
  for (int host = 0; host < 6; ++host) mesh.Start(host);
  mesh.Run(60s);
  for (int host = 0; host < 6; ++host) EXPECT_FALSE(mesh.at(host).ready());
  mesh.SetPlatformOut(false);
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 19s));
  EXPECT_EQ(mesh.reversions(), 0);
}

TEST(ReplicatorMembership, KilledHost_IsMarkedDeadAndAliveAfterRestart) {
  FakeMesh mesh({.hosts = 12});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
  mesh.Run(5s);
  mesh.Kill(7);
  EXPECT_TRUE(mesh.RunUntil(
      [&] { return mesh.AllObserve(7, HostStatus::kDead); }, 30s));
  mesh.Start(7);
  EXPECT_TRUE(mesh.RunUntil(
      [&] { return mesh.AllObserve(7, HostStatus::kAlive); }, 30s));
}

TEST(ReplicatorMembership, SingleBrokenLink_MarksNoHostDead) {
  FakeMesh mesh({.hosts = 12});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
  mesh.Run(5s);
  mesh.Partition([](int from, int to) {
    return (from == 2) != (to == 2) && (from == 5 || to == 5);
  });
  for (int second = 0; second < 60; ++second) {
    mesh.Run(1s);
    ASSERT_TRUE(mesh.AllObserve(2, HostStatus::kAlive));
    ASSERT_TRUE(mesh.AllObserve(5, HostStatus::kAlive));
  }
}

TEST(ReplicatorMembership, FrozenHost_RefutesItsDeathAfterThaw) {
  FakeMesh mesh({.hosts = 12});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
  mesh.Freeze(4);
  const auto marked_dead = [&] {
    return mesh.at(0).hosts().at(HostId("h4")).status == HostStatus::kDead;
  };
  ASSERT_TRUE(mesh.RunUntil(marked_dead, 40s));
  mesh.Thaw(4);
  EXPECT_TRUE(mesh.RunUntil(
      [&] { return mesh.AllObserve(4, HostStatus::kAlive); }, 60s));
}

TEST(ReplicatorMembership, PartitionBetweenFailureDomains_MergesAfterHeal) {
  FakeMesh mesh({.hosts = 12});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.Partition(
      [](int from, int to) { return (from % 3 == 0) != (to % 3 == 0); });
  mesh.Run(120s);
  mesh.Accept(1);
  mesh.Heal();
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 60s));
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 120s));
  for (int host = 0; host < 12; ++host)
    EXPECT_TRUE(mesh.AllObserve(host, HostStatus::kAlive)) << host;
}

TEST(ReplicatorLeave, LeavingHostAndTarget_PropagateWithinTwoSeconds) {
  FakeMesh mesh({.hosts = 24});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
  mesh.at(3).SetTargets({{.id = TargetId("t"), .status = TargetStatus::kReady}},
                        mesh.now());
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 2s));
  mesh.at(3).SetTargets(
      {{.id = TargetId("t"), .status = TargetStatus::kLeaving}}, mesh.now());
  EXPECT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 2s));
  mesh.at(3).Leave(mesh.now());
  mesh.Kill(3);
  EXPECT_TRUE(mesh.RunUntil(
      [&] { return mesh.AllObserve(3, HostStatus::kLeaving); }, 2s));
}

TEST(ReplicatorPublish, RolloutNotInConfiguration_IsRemoved) {
  FakeMesh mesh({});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
  mesh.at(0).Publish(RolloutRecord{.id = RolloutId("gone")}, mesh.now());
  mesh.Run(2s);
  EXPECT_EQ(mesh.at(5).rollouts().size(), 1U);
  mesh.Run(std::chrono::minutes(11));
  for (int host = 0; host < 6; ++host)
    EXPECT_TRUE(mesh.at(host).rollouts().empty());
}

TEST(ReplicatorPublish, ExpiredPoison_IsRemovedOnAllHosts) {
  FakeMesh mesh({});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
  const WallTime wall_now(
      std::chrono::duration_cast<Milliseconds>(mesh.now().time_since_epoch()));
  PoisonRecord record{.fingerprint = 7, .deaths = {{wall_now, TargetId("a")}}};
  const Milliseconds kept = record.Expires() - wall_now;
  record.deaths = {{wall_now - kept + 30s, TargetId("a")}};
  mesh.at(0).Publish(record, mesh.now());
  mesh.Run(2s);
  EXPECT_EQ(mesh.at(5).poison().size(), 1U);
  mesh.Run(60s);
  for (int host = 0; host < 6; ++host)
    EXPECT_TRUE(mesh.at(host).poison().empty());
}

TEST(ReplicatorIsPlatformPoller, ManyHosts_SelectsTwoPerFailureDomain) {
  FakeMesh mesh({.hosts = 30});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s);
  mesh.Run(1s);
  int pollers = 0;
  for (int host = 0; host < 30; ++host)
    if (mesh.at(host).is_platform_poller()) ++pollers;
  EXPECT_EQ(pollers, 6);
}

TEST(ReplicatorPollers, ManyHosts_EachKnowsThePollersOfAllDomains) {
  FakeMesh mesh({.hosts = 30});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s);
  mesh.Run(1s);
  for (int host = 0; host < 30; ++host) {
    // A poller does not list itself.
    const std::size_t own = mesh.at(host).is_platform_poller() ? 1 : 2;
    EXPECT_EQ(mesh.at(host).own_pollers().size(), own) << host;
    EXPECT_EQ(mesh.at(host).other_pollers().size(), 4U) << host;
  }
}

// The bound within which a host that reaches the platform serves a change.
constexpr Milliseconds kConfigBound{2000};

TEST(ReplicatorIsPlatformPoller, HostCutOffFromMesh_ServesChangeWithinBound) {
  constexpr int kHosts = 12;
  for (int cut = 0; cut < kHosts; ++cut) {
    FakeMesh mesh({.hosts = kHosts, .seed = 7});
    ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
    mesh.Run(5s);
    mesh.Partition(
        [cut](int from, int to) { return from == cut || to == cut; });
    mesh.Run(Milliseconds(100));
    mesh.Accept(-1);
    const bool served =
        mesh.RunUntil([&] { return mesh.AllServeNewest(); }, kConfigBound);
    EXPECT_TRUE(served) << "host cut off: " << cut;
  }
}

TEST(ReplicatorIsPlatformPoller, HostReconnectedToMesh_StopsPolling) {
  FakeMesh mesh({.hosts = 30});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s));
  mesh.Run(5s);
  int cut = 0;
  while (mesh.at(cut).is_platform_poller()) ++cut;
  mesh.Partition([cut](int from, int to) { return from == cut || to == cut; });
  mesh.Run(3s);
  EXPECT_TRUE(mesh.at(cut).is_platform_poller());
  mesh.Heal();
  mesh.Run(20s);
  EXPECT_FALSE(mesh.at(cut).is_platform_poller());
}

TEST(ReplicatorSetPlatformLost,
     PlatformLostByAllPollers_OtherHostsReplaceThem) {
  FakeMesh mesh({.hosts = 30});
  ASSERT_TRUE(mesh.RunUntil([&] { return mesh.AllServeNewest(); }, 30s));
  mesh.RunUntil([&] { return mesh.AllAgree(); }, 30s);
  mesh.Run(1s);
  std::set<int> replaced;
  for (int host = 0; host < 30; ++host)
    if (mesh.at(host).is_platform_poller()) replaced.insert(host);
  for (const int host : replaced)
    mesh.at(host).SetPlatformLost(true, mesh.now());
  mesh.Run(1s);
  int pollers = 0;
  for (int host = 0; host < 30; ++host) {
    if (!mesh.at(host).is_platform_poller()) continue;
    ++pollers;
    EXPECT_FALSE(replaced.contains(host));
  }
  EXPECT_EQ(pollers, 6);
}

}  // namespace
}  // namespace camphor

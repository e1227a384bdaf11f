#include "core/routing/routing_builder.h"

#include <gtest/gtest.h>

#include "core/config/rollout_key.h"
#include "core/routing/route_matcher.h"

namespace camphor {
namespace {

class RoutingBuilder : public testing::Test {
 protected:
  RoutingBuilder() {
    snapshot_.head.version = 7;
    snapshot_.routes = {
        {.name = RouteName("all"), .path_prefix = "/", .pool = PoolName("p")},
        {.name = RouteName("orders"),
         .path_prefix = "/orders",
         .pool = PoolName("p")},
        {.name = RouteName("orders-post"),
         .path_prefix = "/orders",
         .methods = {"POST"},
         .pool = PoolName("p")}};
    snapshot_.pools = {
        {.name = PoolName("p"),
         .version = TargetVersion("v1"),
         .rollout = RolloutSpec{.version = TargetVersion("v2")}}};
    hosts_[HostId("h1")] = {
        .host = HostId("h1"),
        .targets = {Target("t1", "v1"), Target("t2", "v2")}};
  }

  static TargetInfo Target(const std::string& id, const std::string& version) {
    return {.id = TargetId(id),
            .pool = PoolName("p"),
            .version = TargetVersion(version)};
  }

  EffectiveRouting Build() const {
    return BuildRouting(
        {.self = HostId("h1"),
         .snapshot = std::make_shared<const ConfigSnapshot>(snapshot_),
         .hosts = hosts_,
         .rollouts = rollouts_,
         .poison = poison_,
         .wall_now = wall_now_,
         .locally_ejected = ejected_});
  }

  void SetRollout(RolloutStage stage, std::uint32_t share_ppm) {
    const RolloutId id = RolloutKey::FromPool(snapshot_.pools.front()).id();
    rollouts_[id] = {.id = id, .stage = stage, .share_ppm = share_ppm};
  }

  std::uint32_t NewVersionShare() const {
    return Build().pools.front().groups.at(1).share_ppm;
  }

  ConfigSnapshot snapshot_;
  std::map<HostId, HostRecord> hosts_;
  std::map<RolloutId, RolloutRecord> rollouts_;
  std::map<std::uint64_t, PoisonRecord> poison_;
  WallTime wall_now_{};
  std::set<std::pair<PoolName, TargetVersion>> ejected_;
};

TEST_F(RoutingBuilder, NoRolloutRecord_OldVersionGetsAllTraffic) {
  EXPECT_EQ(NewVersionShare(), 0U);
}

TEST_F(RoutingBuilder, EvacuatedDomain_HasNoTargetsInAnyPool) {
  hosts_[HostId("h1")].domain = FailureDomain("a");
  hosts_[HostId("h2")] = {.host = HostId("h2"),
                          .domain = FailureDomain("b"),
                          .targets = {Target("t3", "v1")}};
  snapshot_.evacuated_domains = {FailureDomain("a"), FailureDomain("nowhere")};
  const EffectiveRouting routing = Build();
  EXPECT_TRUE(routing.IsEvacuated(FailureDomain("a")));
  EXPECT_FALSE(routing.IsEvacuated(FailureDomain("b")));
  const PoolRouting& pool = routing.pools.front();
  ASSERT_EQ(pool.groups.at(0).targets.size(), 1U);
  EXPECT_EQ(pool.groups.at(0).targets.front().info.id, TargetId("t3"));
  EXPECT_TRUE(pool.groups.at(1).targets.empty());
}

// If the failure detection is in doubt about a domain, suspect hosts stay in
// use. The targets of an evacuated domain must not come back by that.
TEST_F(RoutingBuilder, DomainEvacuatedWhileAnotherIsLost_UsesSuspectsOnly) {
  hosts_[HostId("h1")].domain = FailureDomain("a");
  for (const std::string host : {"h2", "h3"}) {
    hosts_[HostId(host)] = {.host = HostId(host),
                            .status = HostStatus::kSuspect,
                            .domain = FailureDomain("b"),
                            .targets = {Target("t-" + host, "v1")}};
  }
  snapshot_.evacuated_domains = {FailureDomain("a")};
  const VersionGroup group = Build().pools.front().groups.front();
  ASSERT_EQ(group.targets.size(), 2U);
  for (const RoutedTarget& target : group.targets)
    EXPECT_EQ(target.domain, FailureDomain("b"));
}

TEST_F(RoutingBuilder, PendingOrRolledBack_OldVersionGetsAllTraffic) {
  SetRollout(RolloutStage::kPending, 500'000);
  EXPECT_EQ(NewVersionShare(), 0U);
  SetRollout(RolloutStage::kRolledBack, 500'000);
  EXPECT_EQ(NewVersionShare(), 0U);
}

TEST_F(RoutingBuilder, Ramp_SharesAddUp) {
  SetRollout(RolloutStage::kRamp, 300'000);
  const EffectiveRouting routing = Build();
  EXPECT_EQ(routing.pools.front().groups.at(0).share_ppm, 700'000U);
  EXPECT_EQ(routing.pools.front().groups.at(1).share_ppm, 300'000U);
}

TEST_F(RoutingBuilder, RouteShare_OverridesPoolShare) {
  SetRollout(RolloutStage::kCanary, 7'000);
  rollouts_.begin()->second.route_shares = {
      {.route = RouteName("orders"), .share_ppm = 90'000}};
  for (const RoutedRule& route : Build().routes) {
    const bool overridden = route.rule->name == RouteName("orders");
    EXPECT_EQ(route.new_share_ppm, overridden ? 90'000U : 7'000U);
  }
}

TEST_F(RoutingBuilder, CanaryTargets_LimitNewVersionOnly) {
  hosts_[HostId("h2")] = {.host = HostId("h2"),
                          .targets = {Target("t3", "v1"), Target("t4", "v2")}};
  SetRollout(RolloutStage::kCanary, 7'000);
  rollouts_.begin()->second.canary_targets = 1;
  const EffectiveRouting routing = Build();
  EXPECT_EQ(routing.pools.front().groups.at(0).targets.size(), 2U);
  EXPECT_EQ(routing.pools.front().groups.at(1).targets.size(), 1U);
}

TEST_F(RoutingBuilder, LocallyEjected_OldVersionGetsAllTraffic) {
  SetRollout(RolloutStage::kRamp, 300'000);
  ejected_.insert({PoolName("p"), TargetVersion("v2")});
  EXPECT_EQ(NewVersionShare(), 0U);
}

TEST_F(RoutingBuilder, LeavingTarget_IsOmitted) {
  hosts_[HostId("h1")].targets[0].status = TargetStatus::kLeaving;
  EXPECT_TRUE(Build().pools.front().groups.at(0).targets.empty());
}

TEST_F(RoutingBuilder, LeavingHost_HasNoTargets) {
  hosts_[HostId("h1")].status = HostStatus::kLeaving;
  EXPECT_TRUE(Build().pools.front().groups.at(0).targets.empty());
}

TEST_F(RoutingBuilder, SuspectHosts_AreOmittedUnlessTooMany) {
  hosts_[HostId("h2")] = {.host = HostId("h2"),
                          .status = HostStatus::kSuspect,
                          .targets = {Target("t3", "v1")}};
  EXPECT_EQ(Build().pools.front().groups.at(0).targets.size(), 1U);
  hosts_[HostId("h1")].status = HostStatus::kSuspect;
  EXPECT_EQ(Build().pools.front().groups.at(0).targets.size(), 2U);
}

TEST_F(RoutingBuilder, OneDeath_IsSuspectTwoDeathsArePoison) {
  const WallTime at(Seconds(1000));
  poison_[1] = {.fingerprint = 1, .deaths = {{at, TargetId("a")}}};
  poison_[2] = {.fingerprint = 2,
                .deaths = {{at, TargetId("a")}, {at, TargetId("b")}}};
  wall_now_ = at;
  const EffectiveRouting routing = Build();
  EXPECT_EQ(routing.suspects, std::set<std::uint64_t>{1});
  EXPECT_EQ(routing.poison, std::set<std::uint64_t>{2});
  wall_now_ = poison_[2].BlockedUntil();
  EXPECT_EQ(Build().suspects, (std::set<std::uint64_t>{1, 2}));
}

TEST_F(RoutingBuilder, MissingPool_RouteIsOmitted) {
  snapshot_.routes.push_back(
      {.name = RouteName("z"), .pool = PoolName("missing")});
  for (const RoutedRule& route : Build().routes) {
    EXPECT_LT(route.pool, 1U);
    EXPECT_NE(route.rule->name, RouteName("z"));
  }
}

TEST_F(RoutingBuilder, MatchRoute_LongestPrefixThenMethodWins) {
  const EffectiveRouting routing = Build();
  const auto name = [&](std::string_view method, std::string_view path) {
    const auto route =
        MatchRoute(routing, {.host = "a:1", .method = method, .path = path});
    return routing.routes.at(route.value()).rule->name.value();
  };
  EXPECT_EQ(name("POST", "/orders/1"), "orders-post");
  EXPECT_EQ(name("GET", "/orders/1"), "orders");
  EXPECT_EQ(name("GET", "/x"), "all");
}

TEST_F(RoutingBuilder, PoolWithoutVersion_HasAllVersionsExceptNewOne) {
  snapshot_.pools = {{.name = PoolName("p"),
                      .rollout = RolloutSpec{.version = TargetVersion("v2"),
                                             .allowed = Seconds(12)}}};
  const EffectiveRouting routing = Build();
  ASSERT_EQ(routing.pools[0].groups.size(), 2U);
  ASSERT_EQ(routing.pools[0].groups[0].targets.size(), 1U);
  EXPECT_EQ(routing.pools[0].groups[0].targets[0].info.id, TargetId("t1"));
  EXPECT_EQ(routing.pools[0].groups[1].share_ppm, 0U);
}

TEST_F(RoutingBuilder, PoolWithoutVersion_OmitsRolledBackVersions) {
  snapshot_.pools = {{.name = PoolName("p"),
                      .rollout = RolloutSpec{.version = TargetVersion("v3"),
                                             .allowed = Seconds(12),
                                             .attempt = 9}}};
  const RolloutId earlier("p//v2/7");
  rollouts_[earlier] = {.id = earlier, .stage = RolloutStage::kRolledBack};
  const EffectiveRouting routing = Build();
  ASSERT_EQ(routing.pools[0].groups[0].targets.size(), 1U);
  EXPECT_EQ(routing.pools[0].groups[0].targets[0].info.id, TargetId("t1"));
}

TEST_F(RoutingBuilder, SplitRoute_RefersToEachPool) {
  snapshot_.pools.push_back({.name = PoolName("q")});
  snapshot_.routes = {{.name = RouteName("r"),
                       .pool = PoolName("q"),
                       .split = {{PoolName("q"), 90}, {PoolName("p"), 10}}}};
  const EffectiveRouting routing = Build();
  ASSERT_EQ(routing.routes[0].split.size(), 2U);
  EXPECT_EQ(routing.pools[routing.routes[0].split[0].pool].spec.name,
            PoolName("q"));
  EXPECT_EQ(routing.routes[0].split[1].weight, 10U);
}

}  // namespace
}  // namespace camphor

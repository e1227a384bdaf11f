#include "core/quota/quota_manager.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

#include "unit_tests/core/quota/quota_simulation.h"

namespace camphor {
namespace {

std::vector<double> SomeBusyHosts(std::size_t hosts) {
  std::vector<double> weights;
  for (std::size_t index = 0; index < hosts; ++index)
    weights.push_back(*rc::gen::inRange(0, 4) == 0 ? 1 : 0.001);
  return weights;
}

TeamQuota AnyQuota() {
  const double rate = *rc::gen::element(10.0, 30.0, 100.0, 489.0);
  return {.rate = rate, .burst = rate};
}

// Any quota and seed, and any number of hosts unless it is given.
QuotaSimulation::Options AnyOptions(
    std::optional<std::size_t> hosts = std::nullopt) {
  QuotaSimulation::Options options{.quota = AnyQuota()};
  options.hosts = hosts ? *hosts : *rc::gen::inRange<std::size_t>(1, 59);
  options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
  return options;
}

// Guards against over-admission while hosts are connected: demand that jumps to
// five times the rate, moves between hosts, and meets lowered limits.
TEST(QuotaManager, ConnectedHostsWithAnyDemand_NoWindowExceedsTheLimit) {
  EXPECT_TRUE(rc::check([] {
    const QuotaSimulation::Options options = AnyOptions();
    QuotaSimulation simulation(options);
    for (int phase = 0; phase < 4; ++phase) {
      simulation.SetWeights(SomeBusyHosts(options.hosts));
      const double share = *rc::gen::element(0.1, 0.5, 0.9, 1.0, 2.0, 5.0);
      simulation.Run(Seconds(*rc::gen::inRange(1, 6)),
                     share * options.quota.rate);
    }
    RC_ASSERT(simulation.worst_window() <= 1);
  }));
}

// Guards against reports that come too late when a team that has used its rate
// evenly rises to five times as much on other hosts.
TEST(QuotaManager, JumpAfterEvenUse_NoWindowExceedsTheLimit) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const double rate : {100.0, 489.0}) {
      const std::size_t hosts = 30 + seed;
      QuotaSimulation simulation({.hosts = hosts,
                                  .quota = {.rate = rate, .burst = rate},
                                  .seed = seed});
      const auto run = [&](std::size_t first, Seconds time, double demand) {
        std::vector<double> weights(hosts, 0.001);
        for (std::size_t index = first; index < hosts; index += 4)
          weights[index] = 1;
        simulation.SetWeights(weights);
        simulation.Run(time, demand);
      };
      run(0, Seconds(4), rate);
      run(1, Seconds(2), 0.9 * rate);
      run(2, Seconds(4), 5 * rate);
      EXPECT_LE(simulation.worst_window(), 1) << seed << ", rate " << rate;
    }
  }
}

// Guards against over-admission when the allocator's process ends or restarts
// while the team is limited.
TEST(QuotaManager, AllocatorLostOrRestarted_NoWindowExceedsTheLimit) {
  EXPECT_TRUE(rc::check([] {
    const QuotaSimulation::Options options = AnyOptions(20);
    QuotaSimulation simulation(options);
    simulation.Run(Seconds(8), 2 * options.quota.rate);
    const std::size_t allocator = simulation.allocator();
    simulation.Kill(allocator);
    simulation.Run(Seconds(*rc::gen::inRange(1, 16)), 3 * options.quota.rate);
    simulation.Restart(allocator);
    simulation.Run(Seconds(12), 3 * options.quota.rate);
    RC_ASSERT(simulation.worst_window() <= 1);
  }));
}

// Guards against over-admission of hosts that are cut off while the team is
// limited: they go on with shares whose sum was within the rate.
TEST(QuotaManager, PartitionOfLimitedTeam_NoWindowExceedsTheLimit) {
  EXPECT_TRUE(rc::check([] {
    const QuotaSimulation::Options options = AnyOptions(20);
    QuotaSimulation simulation(options);
    simulation.Run(Seconds(8), 2 * options.quota.rate);
    const int groups = *rc::gen::inRange(2, 5);
    simulation.Partition([groups](std::size_t index) {
      return static_cast<int>(index) % groups;
    });
    simulation.Run(Seconds(*rc::gen::inRange(1, 20)), 2 * options.quota.rate);
    simulation.Partition([](std::size_t) { return 0; });
    simulation.Run(Seconds(8), 2 * options.quota.rate);
    RC_ASSERT(simulation.worst_window() <= 1);
  }));
}

// Guards against a limit that stays at its earlier height on some host.
TEST(QuotaManager, LoweredLimitInUse_BindsAfterOneWindow) {
  QuotaSimulation simulation({.quota = {.rate = 489, .burst = 489}});
  simulation.Run(Seconds(8), 489);
  simulation.SetQuota({.rate = 50, .burst = 50});
  simulation.Run(Seconds(5), 489);
  simulation.ResetWorstWindow();
  simulation.Run(Seconds(15), 489);
  EXPECT_LE(simulation.worst_window(), 1);
}

// Guards against refusals within the quota while the demand moves to other
// hosts, which have no grant yet.
TEST(QuotaManager, DemandWithinRateThatMoves_RefusesNothing) {
  EXPECT_TRUE(rc::check([] {
    const QuotaSimulation::Options options = AnyOptions();
    QuotaSimulation simulation(options);
    for (int phase = 0; phase < 6; ++phase) {
      simulation.SetWeights(SomeBusyHosts(options.hosts));
      const double share = *rc::gen::element(0.1, 0.5, 0.9);
      simulation.Run(Seconds(*rc::gen::inRange(1, 6)),
                     share * options.quota.rate);
    }
    RC_ASSERT(simulation.refused() == 0U);
  }));
}

// Guards against teams that are limited, far within their rates, because the
// mesh has just started and its allocators do not know the use before.
TEST(QuotaManager, FirstSecondsOfTheMesh_RefuseNothingWithinTheRate) {
  for (const double rate : {2.0, 10.0, 100.0, 489.0}) {
    QuotaSimulation simulation(
        {.quota = {.rate = rate, .burst = rate}, .idle_before = Seconds(1)});
    simulation.Run(Seconds(12), 0.62 * rate);
    EXPECT_EQ(simulation.refused(), 0U) << rate;
  }
}

// Guards against refusals of a steady demand above the rate whose windows are
// within the quota. A few refusals remain where hosts see single requests.
TEST(QuotaManager, SteadyDemandWithinTheWindows_IsServed) {
  for (const double rate : {10.0, 30.0, 100.0, 489.0}) {
    QuotaSimulation simulation({.quota = {.rate = rate, .burst = rate}});
    simulation.Run(Seconds(10), 0.6 * rate);
    simulation.Run(Seconds(10), 1.12 * rate);
    simulation.ResetCounts();
    simulation.Run(Seconds(20), 1.12 * rate);
    EXPECT_LE(simulation.refused(), 0.03 * simulation.admitted()) << rate;
    EXPECT_LE(simulation.worst_window(), 1) << rate;
  }
}

// Guards against a team that is starved, or over-admitted, at five times its
// usual load.
TEST(QuotaManager, HotTeam_IsServedAtItsQuotaAndNoMore) {
  QuotaSimulation simulation({.quota = {.rate = 100, .burst = 100}});
  simulation.Run(Seconds(10), 50);
  EXPECT_EQ(simulation.refused(), 0U);
  simulation.Run(Seconds(5), 250);
  simulation.ResetCounts();
  simulation.Run(Seconds(20), 250);
  // Windows of 5 s with 5 x rate + burst = 600 requests each.
  EXPECT_GE(simulation.admitted(), 2200U);
  EXPECT_LE(simulation.admitted(), 2520U);
  EXPECT_LE(simulation.worst_window(), 1);
}

// Guards against hosts that wait for a message before the first requests.
TEST(QuotaManager, FirstRequestsOnAllHosts_AreAdmittedAtOnce) {
  QuotaSimulation simulation({.quota = {.rate = 100, .burst = 100}});
  simulation.Run(Seconds(1), 58 * 3);
  EXPECT_EQ(simulation.refused(), 0U);
}

TEST(QuotaManager, TeamWithoutRate_SendsAndCountsNothing) {
  QuotaSimulation simulation({.quota = {.rate = 0, .burst = 0}});
  simulation.Run(Seconds(5), 100);
  EXPECT_EQ(simulation.messages(), 0U);
  EXPECT_EQ(simulation.refused(), 0U);
  EXPECT_EQ(simulation.manager(0).MetricsText(simulation.now()), "");
}

TEST(QuotaManager, IdleTeam_SendsNothing) {
  QuotaSimulation simulation({.quota = {.rate = 100, .burst = 100}});
  simulation.Run(Seconds(2), 50);
  simulation.Run(Seconds(3), 0.0);
  const std::uint64_t messages = simulation.messages();
  simulation.Run(Seconds(10), 0.0);
  EXPECT_EQ(simulation.messages(), messages);
}

TEST(QuotaManagerDumpJson, LimitedTeam_ShowsUseAndAllocator) {
  QuotaSimulation simulation(
      {.hosts = 4, .quota = {.rate = 100, .burst = 100}});
  simulation.Run(Seconds(5), 400);
  const std::string dump = simulation.manager(0).DumpJson(simulation.now());
  EXPECT_NE(dump.find(R"("team":"billing")"), std::string::npos) << dump;
  EXPECT_NE(dump.find(R"("limited":true)"), std::string::npos) << dump;
  EXPECT_NE(dump.find(R"("allocator":"host-)"), std::string::npos) << dump;
}

class QuotaLimiterTest : public ::testing::Test {
 protected:
  QuotaLimiterTest() {
    limiter_.SetTeams(
        TeamTable({{.name = team_, .requests_per_second = 10, .burst = 10}}));
    limiter_.SetHosts(10);
  }

  std::optional<Milliseconds> Refusal() {
    for (int request = 0; request < 1000; ++request)
      if (const auto wait = limiter_.Admit(team_, now_)) return wait;
    return std::nullopt;
  }

  const TeamName team_{"billing"};
  QuotaLimiter limiter_{QuotaLimiter::Options{}};
  MonoTime now_ = MonoTime{} + std::chrono::hours(1);
};

// Guards against a Retry-After that is too early for a request alone.
TEST_F(QuotaLimiterTest, Refused_IsAdmittedAfterTheStatedTime) {
  limiter_.OnGrants(
      {.lease_ms = 60'000,
       .teams = {{.team = HashTeam(team_), .limited = true, .rate = 2}}},
      {}, now_);
  const auto wait = Refusal();
  ASSERT_TRUE(wait.has_value());
  EXPECT_LE(*wait, Milliseconds(500));
  EXPECT_FALSE(limiter_.Admit(team_, now_ + *wait).has_value());
}

TEST_F(QuotaLimiterTest, LeaseExpired_AdmitsAtLeastTheHostsPartOfTheRate) {
  limiter_.OnGrants(
      {.lease_ms = 1500,
       .teams = {{.team = HashTeam(team_), .rate = 0, .credit = 100}}},
      {}, now_);
  EXPECT_FALSE(limiter_.Admit(team_, now_).has_value());
  now_ += Seconds(5);
  Refusal();
  int admitted = 0;
  for (int second = 0; second < 20; ++second) {
    now_ += Seconds(1);
    if (!limiter_.Admit(team_, now_)) ++admitted;
  }
  EXPECT_GE(admitted, 19);
  EXPECT_LE(admitted, 21);
}

TEST_F(QuotaLimiterTest, UnknownTeam_IsNotCounted) {
  EXPECT_FALSE(limiter_.Admit(TeamName("other"), now_).has_value());
  EXPECT_TRUE(limiter_.ReportableTeams().empty());
}

}  // namespace
}  // namespace camphor

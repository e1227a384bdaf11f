#include <gtest/gtest.h>

#include <ctime>
#include <set>
#include <string>
#include <vector>

#include "core/quota/quota_allocator.h"

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};
constexpr unsigned kTeams = 70;

TeamName Team(unsigned index) { return TeamName("t" + std::to_string(index)); }

Endpoint Host(unsigned index) {
  return {.address = "10.0.0." + std::to_string(index), .port = 7000};
}

/// An allocator of many teams, to which hosts report requests of each.
class QuotaAllocatorCostTest : public testing::Test {
 protected:
  void Start(unsigned hosts, double team_rate) {
    std::vector<TeamSpec> specs;
    std::set<TeamHash> owned;
    for (unsigned index = 0; index < kTeams; ++index) {
      specs.push_back({.name = Team(index),
                       .requests_per_second = team_rate,
                       .burst = team_rate});
      owned.insert(HashTeam(Team(index)));
    }
    std::vector<Endpoint> endpoints;
    for (unsigned index = 0; index < hosts; ++index)
      endpoints.push_back(Host(index));
    allocator_.SetTeams(TeamTable(specs));
    allocator_.SetHosts(endpoints, hosts);
    allocator_.SetOwned(owned, kStart);
    admitted_.assign(hosts, 0);
  }

  /// One report of a host about the teams from `first` on.
  void Report(unsigned host, MonoTime now, std::uint32_t demand,
              unsigned first = 0) {
    admitted_[host] += demand;
    QuotaReport report{.incarnation = 1, .sequence = ++sequence_};
    for (unsigned index = first; index < kTeams; ++index) {
      report.teams.push_back({.team = HashTeam(Team(index)),
                              .demand = demand,
                              .period_ms = 500,
                              .admitted = admitted_[host]});
    }
    allocator_.OnReport(Host(host), report, now);
  }

  /// Processor time of some reports after each host has reported.
  std::clock_t CostOfReports(unsigned hosts) {
    Start(hosts, 1e6);
    for (unsigned host = 0; host < hosts; ++host) Report(host, kStart, 1);
    allocator_.Tick(kStart);
    const std::clock_t begin = std::clock();
    for (int repeat = 0; repeat < 500; ++repeat)
      Report(0, kStart + Milliseconds(repeat), 1);
    return std::clock() - begin;
  }

  unsigned sent_ = 0;
  QuotaAllocator allocator_{
      {.send = [this](const Endpoint&, const QuotaGrants&) { ++sent_; }}};
  std::vector<std::uint64_t> admitted_;
  std::uint32_t sequence_ = 0;
};

using QuotaAllocatorCost = QuotaAllocatorCostTest;

// Guards against an allocator whose reports take the host's processor time.
TEST_F(QuotaAllocatorCost, ManyHostsReport_CostOfAReportHardlyGrows) {
  const std::clock_t few = CostOfReports(4);
  const std::clock_t many = CostOfReports(200);
  EXPECT_LT(many, 8 * few);
}

// Guards against a message to each host for each team that stays limited.
TEST_F(QuotaAllocatorCost, TeamsLimitedAtDifferentTimes_NotifiedTogether) {
  constexpr unsigned kHosts = 10;
  constexpr Seconds kTime{20};
  Start(kHosts, 50);
  // The teams come under their limits one after the other.
  for (Milliseconds time{0}; time < kTime; time += Milliseconds(100)) {
    const MonoTime now = kStart + time;
    const auto first = static_cast<unsigned>(
        std::max<std::int64_t>(0, kTeams - 1 - time.count() / 100));
    Report(0, now, 30, first);
    allocator_.Tick(now);
    if (time == kTime / 2) sent_ = 0;
  }
  for (const auto& team : allocator_.Teams()) EXPECT_TRUE(team.limited);
  // Every 2 s while they stay limited, not 35 times a second.
  EXPECT_LE(sent_, kHosts * 12);
  EXPECT_GE(sent_, kHosts * 4);
}

}  // namespace
}  // namespace camphor

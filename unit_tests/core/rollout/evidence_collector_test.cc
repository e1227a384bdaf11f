#include "core/rollout/evidence_collector.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>
#include <set>

#include "core/rollout/latency_histogram.h"

namespace camphor {
namespace {

EvidenceReport Report(std::uint64_t incarnation, std::uint64_t period) {
  return {.rollout = RolloutId("r"),
          .reporter = HostId("h1"),
          .incarnation = incarnation,
          .period = period,
          .hosts = 1,
          .cells = {{.route = RouteName("a"),
                     .version = TargetVersion("v2"),
                     .target = TargetId("t"),
                     .requests = 10,
                     .failures = 1}}};
}

std::uint64_t TakeRequestCount(EvidenceCollector& collector) {
  std::uint32_t hosts = 0;
  std::uint64_t requests = 0;
  for (const EvidenceCell& cell : collector.TakeTotalCells(hosts)) {
    requests += cell.requests;
  }
  return requests;
}

TEST(EvidenceCollectorAddReport, DuplicateReport_IsCountedOnce) {
  EvidenceCollector collector;
  EXPECT_TRUE(collector.AddReport(Report(1, 1)));
  EXPECT_FALSE(collector.AddReport(Report(1, 1)));
  EXPECT_TRUE(collector.AddReport(Report(1, 2)));
  EXPECT_EQ(TakeRequestCount(collector), 20U);
}

TEST(EvidenceCollectorAddReport, RestartedReporter_CountsNewPeriods) {
  EvidenceCollector collector;
  EXPECT_TRUE(collector.AddReport(Report(1, 7)));
  EXPECT_TRUE(collector.AddReport(Report(2, 1)));
  EXPECT_FALSE(collector.AddReport(Report(1, 8)));
}

TEST(EvidenceCollectorAddReport, ArbitraryOrderAndDuplicates_NeverCountsTwice) {
  EXPECT_TRUE(rc::check([] {
    const auto periods = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 6));
    EvidenceCollector collector;
    const std::set<std::uint64_t> distinct(periods.begin(), periods.end());
    for (const std::uint64_t period : periods) {
      collector.AddReport(Report(1, period));
    }
    RC_ASSERT(TakeRequestCount(collector) <= 10 * distinct.size());
  }));
}

TEST(EvidenceCollectorAddSample, EachOutcome_IncrementsMatchingCounter) {
  auto routing = std::make_shared<EffectiveRouting>();
  routing->routes.push_back({.rule = std::make_shared<const RouteRule>(
                                 RouteRule{.name = RouteName("a")})});
  PoolRouting& pool = routing->pools.emplace_back();
  VersionGroup& group = pool.groups.emplace_back();
  group.version = TargetVersion("v1");
  group.targets.emplace_back().info.id = TargetId("t");
  EvidenceCollector collector;
  RequestSample sample{.routing = routing, .latency = Milliseconds(5)};
  for (const RequestOutcome outcome :
       {RequestOutcome::kSuccess, RequestOutcome::kError,
        RequestOutcome::kRefused, RequestOutcome::kTimeout,
        RequestOutcome::kTargetDied, RequestOutcome::kCancelled}) {
    sample.outcome = outcome;
    collector.AddSample(sample);
  }
  const std::vector<EvidenceCell> cells = collector.TakeLocalCells();
  ASSERT_EQ(cells.size(), 1U);
  EXPECT_EQ(cells[0].requests, 4U);
  EXPECT_EQ(cells[0].failures, 3U);
  EXPECT_EQ(cells[0].refused, 1U);
  EXPECT_EQ(cells[0].latency[LatencyBucketIndex(Milliseconds(5))], 1U);
  EXPECT_TRUE(collector.TakeLocalCells().empty());
}

}  // namespace
}  // namespace camphor

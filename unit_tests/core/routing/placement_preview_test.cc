#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/routing/power_of_two_balancer.h"

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

/// Options of the routing of these tests.
struct RoutingOptions {
  std::size_t targets = 4;
  std::size_t own_domain = 2;  ///< targets of the proxy's own failure domain
  std::size_t cold = 0;        ///< targets that are cold
  std::uint32_t new_share_ppm = 0;
  Milliseconds objective{0};
};

/// One route that is split over two pools with two versions each.
EffectiveRoutingPtr MakeRouting(const RoutingOptions& options) {
  EffectiveRouting routing;
  RoutedRule rule{
      .rule = std::make_shared<const RouteRule>(RouteRule{
          .name = RouteName("r"), .target_latency = options.objective}),
      .new_share_ppm = options.new_share_ppm};
  for (std::uint32_t pool = 0; pool < 2; ++pool) {
    rule.split.push_back({.pool = pool,
                          .weight = pool + 1,
                          .new_share_ppm = options.new_share_ppm});
    PoolRouting routed{.spec = {.name = PoolName(std::to_string(pool)),
                                .cold_requests_per_second = 5}};
    for (const std::string version : {"v1", "v2"}) {
      VersionGroup group{.version = TargetVersion(version)};
      group.share_ppm = version == "v2" ? options.new_share_ppm
                                        : 1'000'000 - options.new_share_ppm;
      for (std::size_t index = 0; index < options.targets; ++index) {
        const std::string id =
            std::to_string(pool) + version + std::to_string(index);
        group.targets.push_back(
            {.info = {.id = TargetId(id),
                      .slots = 3,
                      .status = index < options.cold ? TargetStatus::kWarming
                                                     : TargetStatus::kReady},
             .domain =
                 FailureDomain(index < options.own_domain ? "own" : "other")});
      }
      routed.groups.push_back(std::move(group));
    }
    routing.pools.push_back(std::move(routed));
  }
  routing.routes.push_back(std::move(rule));
  return std::make_shared<const EffectiveRouting>(std::move(routing));
}

using Choice = std::pair<std::uint32_t, std::optional<Placement>>;

Choice ChooseNext(PowerOfTwoBalancer& balancer, MonoTime now) {
  const std::uint32_t share = balancer.ChooseShare(0);
  return {share, balancer.Choose(0, share, {}, now)};
}

const RoutedTarget& TargetAt(const EffectiveRoutingPtr& routing,
                             const Placement& placement) {
  return routing->pools[placement.pool]
      .groups[placement.group]
      .targets[placement.target];
}

std::string Describe(const TargetStats& stats) {
  return std::to_string(stats.in_flight) + " " +
         std::to_string(stats.failure_rate) + " " +
         std::to_string(stats.cold_tokens) + " " +
         std::to_string(stats.sent_since_report) + " " +
         std::to_string(stats.full_until.time_since_epoch().count()) + " " +
         std::to_string(stats.cold_refilled.time_since_epoch().count());
}

// Sends a request to the chosen target and ends it in some way, so that the
// statistics of the targets differ.
void PlayRequest(PowerOfTwoBalancer& balancer,
                 const EffectiveRoutingPtr& routing, const Placement& placement,
                 int kind, MonoTime now) {
  const RoutedTarget& target = TargetAt(routing, placement);
  const RouteName route("r");
  balancer.OnSent(target.info.id);
  if (kind == 0) return;  // stays in flight
  if (kind == 1) {
    balancer.OnReport(
        route, target.info.id,
        {.running = 2,
         .waiting = 1,
         .service = Microseconds(20'000),
         .class_service = Microseconds(10'000 * (1 + placement.target))},
        now);
  }
  constexpr std::array kOutcomes = {
      RequestOutcome::kSuccess, RequestOutcome::kSuccess,
      RequestOutcome::kRefused, RequestOutcome::kError};
  balancer.OnEnded({.route = &route,
                    .pool = &routing->pools[placement.pool].spec.name,
                    .target = &target.info.id},
                   kOutcomes.at(static_cast<std::size_t>(kind)),
                   Microseconds(15'000), now);
}

// Guards against a preview that shows another target than the next request
// gets, and against one that changes the choices, tokens or statistics of the
// requests after it.
TEST(PowerOfTwoBalancerCopy,
     PreviewsBetweenChoices_TellTheNextAndChangeNothing) {
  EXPECT_TRUE(rc::check([] {
    const auto targets = *rc::gen::inRange<std::size_t>(1, 6);
    const auto routing = MakeRouting(
        {.targets = targets,
         .own_domain = *rc::gen::inRange<std::size_t>(0, targets + 1),
         .cold = *rc::gen::inRange<std::size_t>(0, targets + 1),
         .new_share_ppm = *rc::gen::element(0U, 300'000U),
         .objective = Milliseconds(*rc::gen::element(0, 20))});
    const PowerOfTwoBalancer::Options options{
        .domain = FailureDomain("own"),
        .random_seed = *rc::gen::arbitrary<std::uint64_t>()};
    PowerOfTwoBalancer plain(options);
    PowerOfTwoBalancer previewed(options);
    plain.SetRouting(routing, kStart);
    previewed.SetRouting(routing, kStart);
    const auto kinds =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 4));
    const int previews = *rc::gen::inRange(1, 4);
    MonoTime now = kStart;
    for (const int kind : kinds) {
      now += Milliseconds(7);
      Choice foretold;
      for (int preview = 0; preview < previews; ++preview) {
        PowerOfTwoBalancer copy(previewed);
        foretold = ChooseNext(copy, now);
        // Uses up tokens and slots of the copy.
        for (int more = 0; more < 3; ++more) ChooseNext(copy, now);
        if (foretold.second)
          PlayRequest(copy, routing, *foretold.second, 3, now);
      }
      const Choice expected = ChooseNext(plain, now);
      const Choice real = ChooseNext(previewed, now);
      RC_ASSERT(real == expected);
      RC_ASSERT(real == foretold);
      if (!real.second) continue;
      PlayRequest(plain, routing, *real.second, kind, now);
      PlayRequest(previewed, routing, *real.second, kind, now);
    }
    for (const auto& [id, stats] : plain.stats())
      RC_ASSERT(Describe(stats) == Describe(*previewed.FindStats(id)));
  }));
}

TEST(PowerOfTwoBalancerCopy, HundredPreviews_NextChoicesAreTheSame) {
  const auto routing = MakeRouting({.cold = 1, .new_share_ppm = 100'000});
  PowerOfTwoBalancer plain({.domain = FailureDomain("own")});
  PowerOfTwoBalancer previewed({.domain = FailureDomain("own")});
  plain.SetRouting(routing, kStart);
  previewed.SetRouting(routing, kStart);
  for (int preview = 0; preview < 100; ++preview) {
    PowerOfTwoBalancer copy(previewed);
    ChooseNext(copy, kStart);
  }
  for (int request = 0; request < 100; ++request)
    EXPECT_EQ(ChooseNext(previewed, kStart), ChooseNext(plain, kStart));
}

// A copy whose views point to the original's statistics would be left with
// dangling pointers.
TEST(PowerOfTwoBalancerCopy, OriginalIsGone_CopyStillChooses) {
  const auto routing = MakeRouting({});
  auto original = std::make_unique<PowerOfTwoBalancer>(
      PowerOfTwoBalancer::Options{.domain = FailureDomain("own")});
  original->SetRouting(routing, kStart);
  PowerOfTwoBalancer copy(*original);
  original.reset();
  EXPECT_TRUE(ChooseNext(copy, kStart).second);
  EXPECT_EQ(copy.Candidates(0, 0, kStart).size(), 8U);
}

TEST(PowerOfTwoBalancerChoose, Draws_LeadToTheChosenTarget) {
  const auto routing = MakeRouting({.targets = 4, .own_domain = 4});
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(routing, kStart);
  std::vector<ChoiceDraw> draws;
  const auto chosen = balancer.Choose(0, 0, {}, kStart, &draws);
  ASSERT_TRUE(chosen);
  ASSERT_EQ(draws.size(), 1U);
  EXPECT_EQ(draws[0].better, *chosen);
  ASSERT_TRUE(draws[0].second);
  EXPECT_NE(draws[0].first, *draws[0].second);
  EXPECT_TRUE(*chosen == draws[0].first || *chosen == *draws[0].second);
  EXPECT_TRUE(draws[0].own_domain);
  EXPECT_TRUE(draws[0].with_capacity);
}

TEST(PowerOfTwoBalancerChoose, OnlyTarget_IsDrawnAlone) {
  const auto routing = MakeRouting({.targets = 1, .own_domain = 0});
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(routing, kStart);
  std::vector<ChoiceDraw> draws;
  ASSERT_TRUE(balancer.Choose(0, 0, {}, kStart, &draws));
  ASSERT_EQ(draws.size(), 1U);
  EXPECT_FALSE(draws[0].second);
  EXPECT_FALSE(draws[0].own_domain);
}

class PowerOfTwoBalancerCandidates : public testing::Test {
 protected:
  PowerOfTwoBalancerCandidates() { balancer_.SetRouting(routing_, kStart); }

  std::optional<TargetExclusion> ExclusionOf(const std::string& id,
                                             MonoTime now = kStart) const {
    for (const auto& candidate : balancer_.Candidates(0, 0, now)) {
      if (TargetAt(routing_, candidate.placement).info.id == TargetId(id))
        return candidate.exclusion;
    }
    ADD_FAILURE() << "no target " << id;
    return std::nullopt;
  }

  void End(const std::string& id, RequestOutcome outcome) {
    const RouteName route("r");
    const PoolName pool("0");
    const TargetId target(id);
    balancer_.OnEnded({.route = &route, .pool = &pool, .target = &target},
                      outcome, Microseconds(1000), kStart);
  }

  EffectiveRoutingPtr routing_ = MakeRouting({.cold = 1});
  PowerOfTwoBalancer balancer_{{.domain = FailureDomain("own")}};
};

TEST_F(PowerOfTwoBalancerCandidates, EachState_HasItsReason) {
  EXPECT_EQ(ExclusionOf("0v11"), std::nullopt);
  balancer_.OnLeaving(TargetId("0v11"));
  EXPECT_EQ(ExclusionOf("0v11"), TargetExclusion::kLeaving);
  for (int request = 0; request < 3; ++request)
    balancer_.OnSent(TargetId("0v12"));
  EXPECT_EQ(ExclusionOf("0v12"), TargetExclusion::kFull);
  for (int failure = 0; failure < 20; ++failure)
    End("0v13", RequestOutcome::kError);
  EXPECT_EQ(ExclusionOf("0v13"), TargetExclusion::kEjected);
  // The first request to the cold target takes this proxy's only token.
  EXPECT_EQ(ExclusionOf("0v10"), std::nullopt);
  for (int request = 0; request < 50; ++request)
    balancer_.Choose(0, 0, {}, kStart);
  EXPECT_EQ(ExclusionOf("0v10"), TargetExclusion::kCold);
  EXPECT_EQ(ExclusionOf("0v10", kStart + Seconds(1)), std::nullopt);
}

// What was not measured must not look like a measured value.
TEST_F(PowerOfTwoBalancerCandidates, NoSamples_SpeedAndLatencyAreUnknown) {
  for (const auto& candidate : balancer_.Candidates(0, 0, kStart)) {
    EXPECT_FALSE(candidate.expected);
    EXPECT_FALSE(candidate.speed);
  }
  balancer_.OnReport(
      RouteName("r"), TargetId("0v11"),
      {.service = Microseconds(20'000), .class_service = Microseconds(20'000)},
      kStart);
  const auto speed_at = [this](MonoTime now) {
    return balancer_.Candidates(0, 0, now)[1].speed;
  };
  EXPECT_EQ(speed_at(kStart), 1.0);
  EXPECT_FALSE(speed_at(kStart + FinishModel::kMaxSpeedAge + Seconds(1)));
}

}  // namespace
}  // namespace camphor

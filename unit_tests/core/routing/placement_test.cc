#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "core/routing/concurrency_limiter.h"
#include "core/routing/power_of_two_balancer.h"

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

EffectiveRoutingPtr MakeRouting(std::size_t targets,
                                std::uint32_t new_share_ppm,
                                std::size_t local_targets,
                                Milliseconds objective = Milliseconds(0)) {
  EffectiveRouting routing;
  routing.routes.push_back(
      {.rule = std::make_shared<const RouteRule>(
           RouteRule{.name = RouteName("r"), .target_latency = objective}),
       .new_share_ppm = new_share_ppm});
  PoolRouting pool{.spec = {.name = PoolName("p")}};
  for (const std::string version : {"v1", "v2"}) {
    VersionGroup group{.version = TargetVersion(version)};
    group.share_ppm =
        version == "v2" ? new_share_ppm : 1'000'000 - new_share_ppm;
    for (std::size_t index = 0; index < targets; ++index) {
      group.targets.push_back(
          {.info = {.id = TargetId(version + "-" + std::to_string(index)),
                    .slots = 10},
           .domain = FailureDomain(index < local_targets ? "own" : "other")});
    }
    pool.groups.push_back(std::move(group));
  }
  routing.pools.push_back(std::move(pool));
  return std::make_shared<const EffectiveRouting>(std::move(routing));
}

TargetId IdOf(const EffectiveRoutingPtr& routing, const Placement& placement) {
  return routing->pools[placement.pool]
      .groups[placement.group]
      .targets[placement.target]
      .info.id;
}

void RecordResult(PowerOfTwoBalancer& balancer, const std::string& route,
                  const std::string& target, RequestOutcome outcome,
                  Microseconds latency) {
  const RouteName route_name(route);
  const PoolName pool("p");
  const TargetId id(target);
  balancer.OnEnded({.route = &route_name, .pool = &pool, .target = &id},
                   outcome, latency, kStart);
}

TEST(PowerOfTwoBalancerChoose, AnyShare_IsMetWithinOneRequest) {
  EXPECT_TRUE(rc::check([] {
    const auto share = *rc::gen::inRange<std::uint32_t>(0, 1'000'001);
    PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
    balancer.SetRouting(MakeRouting(3, share, 1), kStart);
    int to_new_version = 0;
    constexpr int kRequests = 500;
    for (int request = 0; request < kRequests; ++request) {
      to_new_version += balancer.Choose(0, {}, kStart)->group == 1 ? 1 : 0;
    }
    RC_ASSERT(std::abs(to_new_version - share / 1e6 * kRequests) <= 1.0);
  }));
}

TEST(PowerOfTwoBalancerOnLeaving, AnyChoice_AvoidsTargetUntilItIsGone) {
  const auto routing = MakeRouting(2, 0, 1);
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(routing, kStart);
  balancer.OnLeaving(TargetId("v1-0"));
  for (int request = 0; request < 50; ++request)
    EXPECT_EQ(IdOf(routing, *balancer.Choose(0, {}, kStart)), TargetId("v1-1"));
  balancer.OnLeaving(TargetId("v1-1"));
  EXPECT_FALSE(balancer.Choose(0, {}, kStart));
  EXPECT_FALSE(balancer.HasUntriedTarget(0, 0, {}, kStart));
  // A target of the same id that is announced later is another one.
  balancer.SetRouting(MakeRouting(0, 0, 0), kStart);
  balancer.SetRouting(routing, kStart);
  EXPECT_TRUE(balancer.Choose(0, {}, kStart));
}

EffectiveRoutingPtr WithColdTargets(const EffectiveRoutingPtr& routing,
                                    std::size_t cold, double per_second,
                                    std::size_t hosts) {
  EffectiveRouting changed = *routing;
  changed.hosts = hosts;
  changed.pools[0].spec.cold_requests_per_second = per_second;
  for (std::size_t index = 0; index < cold; ++index) {
    changed.pools[0].groups[0].targets[index].info.status =
        TargetStatus::kWarming;
  }
  return std::make_shared<const EffectiveRouting>(std::move(changed));
}

// Without the share, all hosts together send a cold target far more than its
// rate, and its host has to refuse it.
TEST(PowerOfTwoBalancerChoose, ColdTarget_GetsThisProxysShareOfItsRate) {
  const auto routing = WithColdTargets(MakeRouting(4, 0, 4), 1, 20, 10);
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(routing, kStart);
  // The warm targets are busy, so that the cold one is the better choice.
  for (const std::string warm : {"v1-1", "v1-2", "v1-3"}) {
    for (int request = 0; request < 9; ++request)
      balancer.OnSent(TargetId(warm));
  }
  int to_cold = 0;
  for (int ms = 0; ms < 10'000; ms += 2) {
    const auto placement = balancer.Choose(0, {}, kStart + Milliseconds(ms));
    ASSERT_TRUE(placement);
    if (placement->target == 0) ++to_cold;
  }
  EXPECT_GT(to_cold, 0);
  EXPECT_LE(to_cold, 21);
  EXPECT_EQ(balancer.ColdShare(0, 0), 2.0);
}

TEST(PowerOfTwoBalancerChoose, AllCold_StillChoosesTarget) {
  const auto routing = WithColdTargets(MakeRouting(3, 0, 3), 3, 1, 100);
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(routing, kStart);
  for (int request = 0; request < 20; ++request)
    EXPECT_TRUE(balancer.Choose(0, {}, kStart));
}

TEST(PowerOfTwoBalancerChoose, WarmingWithoutColdRate_IsNotLimited) {
  const auto routing = WithColdTargets(MakeRouting(1, 0, 1), 1, 0, 100);
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(routing, kStart);
  EXPECT_EQ(balancer.ColdShare(0, 0), 0.0);
  EXPECT_EQ(balancer.FindStats(TargetId("v1-0"))->cold_per_second, 0.0);
}

// The targets of a returned domain are all new at once. Compared only with each
// other, they would get all requests of their domain at once.
TEST(PowerOfTwoBalancerChoose, EvacuationEnds_RequestsReturnGradually) {
  const EffectiveRoutingPtr all = MakeRouting(6, 0, 3);
  EffectiveRouting evacuated = *all;
  evacuated.evacuated_domains = {FailureDomain("own")};
  for (VersionGroup& group : evacuated.pools[0].groups) {
    std::erase_if(group.targets, [](const RoutedTarget& target) {
      return target.domain == FailureDomain("own");
    });
  }
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(all, kStart);
  balancer.SetRouting(
      std::make_shared<const EffectiveRouting>(std::move(evacuated)), kStart);
  balancer.SetRouting(all, kStart);
  const auto share_at = [&](MonoTime now) {
    int own = 0;
    for (int request = 0; request < 1000; ++request) {
      const auto placement = balancer.Choose(0, {}, now);
      own += placement->target < 3 ? 1 : 0;
    }
    return own;
  };
  EXPECT_LT(share_at(kStart), 200);
  const int halfway = share_at(kStart + Seconds(5));
  EXPECT_GT(halfway, 400);
  EXPECT_LT(halfway, 600);
  EXPECT_EQ(share_at(kStart + Seconds(10)), 1000);
}

// Uses a local target with latency `own` and a target in another domain with
// latency `other`. Returns how many of 100 requests go to the other domain.
int RequestsToOtherDomain(Milliseconds objective, Milliseconds own,
                          Milliseconds other) {
  const auto shared = MakeRouting(2, 0, 1, objective);
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(shared, kStart);
  for (int answer = 0; answer < 100; ++answer) {
    RecordResult(balancer, "r", "v1-0", RequestOutcome::kSuccess, own);
    RecordResult(balancer, "r", "v1-1", RequestOutcome::kSuccess, other);
  }
  int to_other_domain = 0;
  for (int request = 0; request < 100; ++request)
    to_other_domain += balancer.Choose(0, {}, kStart)->target == 1 ? 1 : 0;
  return to_other_domain;
}

TEST(PowerOfTwoBalancerChoose,
     LocalDomainMissesObjective_MostRequestsGoToOtherDomain) {
  const int to_other_domain = RequestsToOtherDomain(
      Milliseconds(200), Milliseconds(300), Milliseconds(60));
  EXPECT_GT(to_other_domain, 50);
  EXPECT_LT(to_other_domain, 100);
}

TEST(PowerOfTwoBalancerChoose, LocalDomainMeetsObjective_AllRequestsStay) {
  EXPECT_EQ(RequestsToOtherDomain(Milliseconds(200), Milliseconds(100),
                                  Milliseconds(10)),
            0);
}

TEST(PowerOfTwoBalancerChoose, OtherDomainIsNoFaster_AllRequestsStay) {
  EXPECT_EQ(RequestsToOtherDomain(Milliseconds(200), Milliseconds(300),
                                  Milliseconds(300)),
            0);
}

// The high latency of one route must not count against the objective of another
// route of the same pool.
TEST(PowerOfTwoBalancerChoose, OtherRouteOfPoolIsSlow_RequestsOfFastRouteStay) {
  EffectiveRouting routing = *MakeRouting(2, 0, 1, Milliseconds(80));
  routing.routes.push_back(
      {.rule = std::make_shared<const RouteRule>(RouteRule{
           .name = RouteName("long"), .target_latency = Milliseconds(600)})});
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(std::make_shared<const EffectiveRouting>(routing),
                      kStart);
  for (int answer = 0; answer < 100; ++answer) {
    for (const std::string target : {"v1-0", "v1-1"}) {
      RecordResult(balancer, "long", target, RequestOutcome::kSuccess,
                   Milliseconds(200));
      RecordResult(balancer, "r", target, RequestOutcome::kSuccess,
                   Milliseconds(20));
    }
    // A failure rate of 1 % must not cause requests to leave the local domain.
    if (answer == 90)
      RecordResult(balancer, "r", "v1-0", RequestOutcome::kError,
                   Milliseconds(20));
  }
  for (int request = 0; request < 100; ++request)
    EXPECT_EQ(balancer.Choose(0, {}, kStart)->target, 0U);
}

TEST(PowerOfTwoBalancerChoose,
     LocalTargetFailsOften_MostRequestsGoToOtherDomain) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(MakeRouting(2, 0, 1, Milliseconds(80)), kStart);
  for (int answer = 0; answer < 100; ++answer) {
    RecordResult(
        balancer, "r", "v1-0",
        answer % 2 == 0 ? RequestOutcome::kSuccess : RequestOutcome::kError,
        Milliseconds(20));
    RecordResult(balancer, "r", "v1-1", RequestOutcome::kSuccess,
                 Milliseconds(20));
  }
  int to_other_domain = 0;
  for (int request = 0; request < 100; ++request)
    to_other_domain += balancer.Choose(0, {}, kStart)->target == 1 ? 1 : 0;
  EXPECT_GT(to_other_domain, 50);
}

TEST(PowerOfTwoBalancerChooseShare, ManyRequests_FollowWeights) {
  EffectiveRouting routing = *MakeRouting(3, 0, 1);
  routing.routes[0].split = {{.pool = 0, .weight = 90},
                             {.pool = 0, .weight = 0},
                             {.pool = 0, .weight = 10}};
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(std::make_shared<const EffectiveRouting>(routing),
                      kStart);
  std::map<std::uint32_t, int> counts;
  constexpr int kRequests = 10'000;
  for (int request = 0; request < kRequests; ++request)
    ++counts[balancer.ChooseShare(0)];
  EXPECT_EQ(counts[1], 0);
  EXPECT_NEAR(counts[2], kRequests * 0.1, kRequests * 0.02);
}

TEST(PowerOfTwoBalancerChoose, LocalDomain_IsPreferredWhileItHasCapacity) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  const EffectiveRoutingPtr routing = MakeRouting(6, 0, 2);
  balancer.SetRouting(routing, kStart);
  // The two local targets have 20 slots together.
  for (int request = 0; request < 25; ++request) {
    const auto placement = balancer.Choose(0, {}, kStart);
    EXPECT_EQ(placement->target < 2, request < 20);
    balancer.OnSent(IdOf(routing, *placement));
  }
}

TEST(PowerOfTwoBalancerOnEnded, AllTargetsFail_EjectionIsLimited) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  const EffectiveRoutingPtr routing = MakeRouting(5, 0, 5);
  balancer.SetRouting(routing, kStart);
  // Of the ten targets in both groups, at most 30 percent may be ejected.
  for (int request = 0; request < 1000; ++request) {
    const auto placement = balancer.Choose(0, {}, kStart);
    ASSERT_TRUE(placement);
    balancer.OnSent(IdOf(routing, *placement));
    RecordResult(balancer, "r", IdOf(routing, *placement).value(),
                 RequestOutcome::kError, Microseconds(100));
  }
  std::size_t ejected = 0;
  for (const auto& [id, stats] : balancer.stats()) {
    ejected += stats.ejected_until > kStart ? 1 : 0;
  }
  EXPECT_EQ(ejected, 3U);
}

TEST(PowerOfTwoBalancerChoose, AllTargetsTried_ReturnsNullopt) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(MakeRouting(2, 0, 1), kStart);
  const std::vector<Placement> tried = {{.target = 0}, {.target = 1}};
  EXPECT_FALSE(balancer.Choose(0, tried, kStart));
}

TEST(ConcurrencyLimiterAcquire, AnySequence_NeverExceedsSlotsOrQueue) {
  EXPECT_TRUE(rc::check([] {
    ConcurrencyLimiter limiter({.slots = 3, .queue = 4});
    std::set<std::uint64_t> waiting;
    std::uint32_t running = 0;
    std::uint64_t next = 1;
    MonoTime now = kStart;
    for (const int step :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
      now += Milliseconds(1);
      if (step % 3 == 0 && running > 0) {
        --running;
        const auto released = limiter.Release(
            ConcurrencyLimiter::ServiceSample{.took = Microseconds(500)}, now);
        for (const std::uint64_t id : released.expired) {
          RC_ASSERT(waiting.erase(id) == 1U);
        }
        if (released.granted) {
          RC_ASSERT(waiting.erase(*released.granted) == 1U);
          ++running;
        }
      } else {
        Urgency urgency = Urgency::FromDeadline(now + Milliseconds(step));
        urgency.priority = static_cast<std::uint32_t>(step % 5);
        const auto result = limiter.Acquire(next, urgency, now);
        if (limiter.displaced()) {
          RC_ASSERT(result == ConcurrencyLimiter::AdmitResult::kQueued);
          RC_ASSERT(waiting.erase(*limiter.displaced()) == 1U);
        }
        if (result == ConcurrencyLimiter::AdmitResult::kAdmitted) ++running;
        if (result == ConcurrencyLimiter::AdmitResult::kQueued)
          waiting.insert(next);
        ++next;
      }
      RC_ASSERT(limiter.running() == running);
      RC_ASSERT(running <= 3U);
      RC_ASSERT(limiter.waiting() == waiting.size());
      RC_ASSERT(waiting.size() <= 4U);
    }
  }));
}

TEST(ConcurrencyLimiterRelease, EarliestDeadline_GoesFirst) {
  ConcurrencyLimiter limiter({.slots = 1, .queue = 4});
  limiter.Acquire(1, Urgency::FromDeadline(kStart + Seconds(1)), kStart);
  limiter.Acquire(2, Urgency::FromDeadline(kStart + Seconds(3)), kStart);
  limiter.Acquire(3, Urgency::FromDeadline(kStart + Seconds(2)), kStart);
  EXPECT_EQ(limiter.Release(std::nullopt, kStart).granted, 3U);
  EXPECT_EQ(limiter.Release(std::nullopt, kStart).granted, 2U);
}

// Returns a limiter with one slot, which is in use, and a mean service time of
// 100 ms.
ConcurrencyLimiter MakeBusyLimiter(std::uint32_t queue) {
  ConcurrencyLimiter limiter({.slots = 1, .queue = queue});
  limiter.Acquire(1, Urgency::FromDeadline(kStart + Seconds(1)), kStart);
  limiter.Release(ConcurrencyLimiter::ServiceSample{.took = Milliseconds(100)},
                  kStart);
  limiter.Acquire(2, Urgency::FromDeadline(kStart + Seconds(1)), kStart);
  return limiter;
}

TEST(ConcurrencyLimiterAcquire,
     SoftDeadlineCannotBeMet_IsRejectedDespiteLaterDeadline) {
  ConcurrencyLimiter limiter = MakeBusyLimiter(4);
  const Urgency late{.soft_deadline = kStart + Milliseconds(150),
                     .deadline = kStart + Seconds(1)};
  EXPECT_EQ(limiter.Acquire(3, late, kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
}

TEST(ConcurrencyLimiterAcquire, TargetTooSlowForSoftDeadline_IsQueuedAnyway) {
  ConcurrencyLimiter limiter = MakeBusyLimiter(4);
  const Urgency unreachable{.soft_deadline = kStart + Milliseconds(50),
                            .deadline = kStart + Seconds(1)};
  EXPECT_EQ(limiter.Acquire(3, unreachable, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
}

TEST(ConcurrencyLimiterAcquire, FullQueue_MoreUrgentRequestDisplacesLast) {
  ConcurrencyLimiter limiter = MakeBusyLimiter(1);
  const MonoTime deadline = kStart + Seconds(1);
  const Urgency low{
      .priority = 2, .soft_deadline = deadline, .deadline = deadline};
  const Urgency high{
      .priority = 1, .soft_deadline = deadline, .deadline = deadline};
  EXPECT_EQ(limiter.Acquire(3, low, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
  EXPECT_EQ(limiter.Acquire(4, low, kStart),
            ConcurrencyLimiter::AdmitResult::kFull);
  EXPECT_EQ(limiter.Acquire(5, high, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
  EXPECT_EQ(limiter.displaced(), 3U);
  EXPECT_EQ(limiter.waiting(), 1U);
}

TEST(ConcurrencyLimiterRelease, HigherPriority_GoesFirst) {
  ConcurrencyLimiter limiter = MakeBusyLimiter(4);
  const MonoTime deadline = kStart + Seconds(1);
  limiter.Acquire(
      3, {.priority = 2, .soft_deadline = deadline, .deadline = deadline},
      kStart);
  limiter.Acquire(
      4, {.priority = 1, .soft_deadline = deadline, .deadline = deadline},
      kStart);
  EXPECT_EQ(limiter.Release(std::nullopt, kStart).granted, 4U);
}

TEST(ConcurrencyLimiterRelease, RequestPastSoftDeadline_YieldsToRequestInTime) {
  ConcurrencyLimiter limiter = MakeBusyLimiter(4);
  const MonoTime deadline = kStart + Seconds(1);
  limiter.Acquire(
      3, {.soft_deadline = kStart + Milliseconds(220), .deadline = deadline},
      kStart);
  limiter.Acquire(
      4, {.soft_deadline = kStart + Milliseconds(600), .deadline = deadline},
      kStart);
  const MonoTime later = kStart + Milliseconds(200);
  EXPECT_EQ(limiter.Release(std::nullopt, later).granted, 4U);
  EXPECT_EQ(limiter.Release(std::nullopt, later).granted, 3U);
}

TEST(ConcurrencyLimiterAcquire, WorkClasses_UseTheirOwnServiceTimes) {
  ConcurrencyLimiter limiter({.slots = 1, .queue = 4});
  const MonoTime deadline = kStart + Seconds(1);
  for (const std::uint32_t work_class : {1U, 2U}) {
    limiter.Acquire(1, Urgency::FromDeadline(deadline), kStart);
    limiter.Release(
        ConcurrencyLimiter::ServiceSample{
            .work_class = work_class,
            .took = Milliseconds(work_class == 1 ? 10 : 500)},
        kStart);
  }
  limiter.Acquire(1, Urgency::FromDeadline(deadline), kStart);
  const MonoTime wanted = kStart + Milliseconds(300);
  const Urgency quick{
      .soft_deadline = wanted, .deadline = wanted, .work_class = 1};
  const Urgency slow{
      .soft_deadline = wanted, .deadline = wanted, .work_class = 2};
  EXPECT_EQ(limiter.Acquire(2, quick, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
  EXPECT_EQ(limiter.Acquire(3, slow, kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
}

TEST(ConcurrencyLimiterAcquire, VariableServiceTime_IsRejectedIfLikelyLate) {
  ConcurrencyLimiter limiter({.slots = 1, .queue = 4});
  const MonoTime deadline = kStart + Seconds(1);
  for (int request = 0; request < 100; ++request) {
    limiter.Acquire(1, Urgency::FromDeadline(deadline), kStart);
    limiter.Release(
        ConcurrencyLimiter::ServiceSample{
            .took = Milliseconds(50 + request % 2 * 100)},
        kStart);
  }
  limiter.Acquire(1, Urgency::FromDeadline(deadline), kStart);
  // The expected wait is 100 ms and the service time 50 to 150 ms.
  const Urgency tight{.soft_deadline = kStart + Milliseconds(210),
                      .deadline = deadline};
  const Urgency easy{.soft_deadline = kStart + Milliseconds(270),
                     .deadline = deadline};
  EXPECT_EQ(limiter.Acquire(2, tight, kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
  EXPECT_EQ(limiter.Acquire(3, easy, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
}

TEST(ConcurrencyLimiterAcquire, DeadlineCannotBeMet_IsRejectedImmediately) {
  ConcurrencyLimiter limiter({.slots = 1, .queue = 4});
  limiter.Acquire(1, Urgency::FromDeadline(kStart + Seconds(1)), kStart);
  limiter.Release(ConcurrencyLimiter::ServiceSample{.took = Milliseconds(100)},
                  kStart);
  limiter.Acquire(2, Urgency::FromDeadline(kStart + Seconds(1)), kStart);
  EXPECT_EQ(limiter.Acquire(
                3, Urgency::FromDeadline(kStart + Milliseconds(150)), kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
  EXPECT_EQ(limiter.Acquire(
                4, Urgency::FromDeadline(kStart + Milliseconds(250)), kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
}

}  // namespace
}  // namespace camphor

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "core/routing/concurrency_limiter.h"
#include "core/routing/death_tracker.h"
#include "core/routing/power_of_two_balancer.h"

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

EffectiveRoutingPtr MakeRouting(std::size_t targets, std::uint32_t share_of_new,
                                std::size_t own_domain,
                                Milliseconds objective = Milliseconds(0)) {
  EffectiveRouting routing;
  routing.routes.push_back(
      {.rule = std::make_shared<const RouteRule>(
           RouteRule{.name = RouteName("r"), .target_latency = objective}),
       .new_share_ppm = share_of_new});
  PoolRouting pool{.spec = {.name = PoolName("p")}};
  for (const std::string version : {"v1", "v2"}) {
    VersionGroup group{.version = TargetVersion(version)};
    group.share_ppm = version == "v2" ? share_of_new : 1'000'000 - share_of_new;
    for (std::size_t index = 0; index < targets; ++index) {
      group.targets.push_back(
          {.info = {.id = TargetId(version + "-" + std::to_string(index)),
                    .slots = 10},
           .domain = FailureDomain(index < own_domain ? "own" : "other")});
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

void End(PowerOfTwoBalancer& balancer, const std::string& route,
         const std::string& target, RequestOutcome outcome,
         Microseconds latency) {
  const RouteName route_name(route);
  const PoolName pool("p");
  const TargetId id(target);
  balancer.OnEnded({.route = &route_name, .pool = &pool, .target = &id},
                   outcome, latency, kStart);
}

TEST(PowerOfTwoBalancerChoose, AnyShare_IsKeptToOneRequest) {
  EXPECT_TRUE(rc::check([] {
    const auto share = *rc::gen::inRange<std::uint32_t>(0, 1'000'001);
    PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
    balancer.SetRouting(MakeRouting(3, share, 1), kStart);
    int of_new = 0;
    constexpr int kRequests = 500;
    for (int request = 0; request < kRequests; ++request) {
      of_new += balancer.Choose(0, {}, kStart)->group == 1 ? 1 : 0;
    }
    RC_ASSERT(std::abs(of_new - share / 1e6 * kRequests) <= 1.0);
  }));
}

// One own target that answers in `own` and one elsewhere that does in `other`;
// the part of a hundred requests that go elsewhere.
int RequestsThatLeave(Milliseconds objective, Milliseconds own,
                      Milliseconds other) {
  const auto shared = MakeRouting(2, 0, 1, objective);
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(shared, kStart);
  for (int answer = 0; answer < 100; ++answer) {
    End(balancer, "r", "v1-0", RequestOutcome::kSuccess, own);
    End(balancer, "r", "v1-1", RequestOutcome::kSuccess, other);
  }
  int left = 0;
  for (int request = 0; request < 100; ++request)
    left += balancer.Choose(0, {}, kStart)->target == 1 ? 1 : 0;
  return left;
}

TEST(PowerOfTwoBalancerChoose, OwnDomainMissesTheObjective_MostRequestsLeave) {
  const int left =
      RequestsThatLeave(Milliseconds(200), Milliseconds(300), Milliseconds(60));
  EXPECT_GT(left, 50);
  EXPECT_LT(left, 100);
}

TEST(PowerOfTwoBalancerChoose, OwnDomainKeepsTheObjective_NoneLeaves) {
  EXPECT_EQ(
      RequestsThatLeave(Milliseconds(200), Milliseconds(100), Milliseconds(10)),
      0);
}

TEST(PowerOfTwoBalancerChoose, OtherDomainIsNoFaster_NoneLeaves) {
  EXPECT_EQ(RequestsThatLeave(Milliseconds(200), Milliseconds(300),
                              Milliseconds(300)),
            0);
}

// Long requests of one route say nothing of a short one's objective.
TEST(PowerOfTwoBalancerChoose, OtherRouteOfThePoolIsSlow_ShortOneStays) {
  EffectiveRouting routing = *MakeRouting(2, 0, 1, Milliseconds(80));
  routing.routes.push_back(
      {.rule = std::make_shared<const RouteRule>(RouteRule{
           .name = RouteName("long"), .target_latency = Milliseconds(600)})});
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(std::make_shared<const EffectiveRouting>(routing),
                      kStart);
  for (int answer = 0; answer < 100; ++answer) {
    for (const std::string target : {"v1-0", "v1-1"}) {
      End(balancer, "long", target, RequestOutcome::kSuccess,
          Milliseconds(200));
      End(balancer, "r", target, RequestOutcome::kSuccess, Milliseconds(20));
    }
    // One failure in a hundred is no reason to leave.
    if (answer == 90)
      End(balancer, "r", "v1-0", RequestOutcome::kError, Milliseconds(20));
  }
  for (int request = 0; request < 100; ++request)
    EXPECT_EQ(balancer.Choose(0, {}, kStart)->target, 0U);
}

TEST(PowerOfTwoBalancerChoose, OwnTargetFailsOften_SomeRequestsLeave) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(MakeRouting(2, 0, 1, Milliseconds(80)), kStart);
  for (int answer = 0; answer < 100; ++answer) {
    End(balancer, "r", "v1-0",
        answer % 2 == 0 ? RequestOutcome::kSuccess : RequestOutcome::kError,
        Milliseconds(20));
    End(balancer, "r", "v1-1", RequestOutcome::kSuccess, Milliseconds(20));
  }
  int left = 0;
  for (int request = 0; request < 100; ++request)
    left += balancer.Choose(0, {}, kStart)->target == 1 ? 1 : 0;
  EXPECT_GT(left, 50);
}

TEST(PowerOfTwoBalancerChooseShare, Weights_AreKeptToOverManyRequests) {
  EffectiveRouting routing = *MakeRouting(3, 0, 1);
  routing.routes[0].split = {{.pool = 0, .weight = 90},
                             {.pool = 0, .weight = 0},
                             {.pool = 0, .weight = 10}};
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(std::make_shared<const EffectiveRouting>(routing),
                      kStart);
  std::map<std::uint32_t, int> drawn;
  constexpr int kRequests = 10'000;
  for (int request = 0; request < kRequests; ++request)
    ++drawn[balancer.ChooseShare(0)];
  EXPECT_EQ(drawn[1], 0);
  EXPECT_NEAR(drawn[2], kRequests * 0.1, kRequests * 0.02);
}

TEST(PowerOfTwoBalancerChoose, OwnDomain_GoesFirstWhileItHasRoom) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  const EffectiveRoutingPtr routing = MakeRouting(6, 0, 2);
  balancer.SetRouting(routing, kStart);
  // Two own targets have 20 slots.
  for (int request = 0; request < 25; ++request) {
    const auto placement = balancer.Choose(0, {}, kStart);
    EXPECT_EQ(placement->target < 2, request < 20);
    balancer.OnSent(IdOf(routing, *placement));
  }
}

TEST(PowerOfTwoBalancerOnEnded, FailingTarget_IsEjectedWithinTheBound) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  const EffectiveRoutingPtr routing = MakeRouting(5, 0, 5);
  balancer.SetRouting(routing, kStart);
  // All fail: of ten targets in both groups 30 percent may be ejected.
  for (int request = 0; request < 1000; ++request) {
    const auto placement = balancer.Choose(0, {}, kStart);
    ASSERT_TRUE(placement);
    balancer.OnSent(IdOf(routing, *placement));
    End(balancer, "r", IdOf(routing, *placement).value(),
        RequestOutcome::kError, Microseconds(100));
  }
  std::size_t ejected = 0;
  for (const auto& [id, stats] : balancer.stats()) {
    ejected += stats.ejected_until > kStart ? 1 : 0;
  }
  EXPECT_EQ(ejected, 3U);
}

TEST(PowerOfTwoBalancerChoose, EveryTargetTried_GivesNothing) {
  PowerOfTwoBalancer balancer({.domain = FailureDomain("own")});
  balancer.SetRouting(MakeRouting(2, 0, 1), kStart);
  const std::vector<Placement> tried = {{.target = 0}, {.target = 1}};
  EXPECT_FALSE(balancer.Choose(0, tried, kStart));
}

TEST(ConcurrencyLimiterAcquire, AnyOrder_NeverRunsMoreThanTheSlots) {
  EXPECT_TRUE(rc::check([] {
    ConcurrencyLimiter gate({.slots = 3, .queue = 4});
    std::set<std::uint64_t> waiting;
    std::uint32_t running = 0;
    std::uint64_t next = 1;
    MonoTime now = kStart;
    for (const int step :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
      now += Milliseconds(1);
      if (step % 3 == 0 && running > 0) {
        --running;
        const auto handover = gate.Release(
            ConcurrencyLimiter::ServiceSample{.took = Microseconds(500)}, now);
        for (const std::uint64_t id : handover.expired) {
          RC_ASSERT(waiting.erase(id) == 1U);
        }
        if (handover.granted) {
          RC_ASSERT(waiting.erase(*handover.granted) == 1U);
          ++running;
        }
      } else {
        Urgency urgency = Urgency::Of(now + Milliseconds(step));
        urgency.priority = static_cast<std::uint32_t>(step % 5);
        const auto verdict = gate.Acquire(next, urgency, now);
        if (gate.displaced()) {
          RC_ASSERT(verdict == ConcurrencyLimiter::AdmitResult::kQueued);
          RC_ASSERT(waiting.erase(*gate.displaced()) == 1U);
        }
        if (verdict == ConcurrencyLimiter::AdmitResult::kAdmitted) ++running;
        if (verdict == ConcurrencyLimiter::AdmitResult::kQueued)
          waiting.insert(next);
        ++next;
      }
      RC_ASSERT(gate.running() == running);
      RC_ASSERT(running <= 3U);
      RC_ASSERT(gate.waiting() == waiting.size());
      RC_ASSERT(waiting.size() <= 4U);
    }
  }));
}

TEST(ConcurrencyLimiterRelease, EarliestDeadline_GoesFirst) {
  ConcurrencyLimiter gate({.slots = 1, .queue = 4});
  gate.Acquire(1, Urgency::Of(kStart + Seconds(1)), kStart);
  gate.Acquire(2, Urgency::Of(kStart + Seconds(3)), kStart);
  gate.Acquire(3, Urgency::Of(kStart + Seconds(2)), kStart);
  EXPECT_EQ(gate.Release(std::nullopt, kStart).granted, 3U);
  EXPECT_EQ(gate.Release(std::nullopt, kStart).granted, 2U);
}

// A gate of one slot whose requests take 100 ms, with one that runs.
ConcurrencyLimiter BusyGate(std::uint32_t queue) {
  ConcurrencyLimiter gate({.slots = 1, .queue = queue});
  gate.Acquire(1, Urgency::Of(kStart + Seconds(1)), kStart);
  gate.Release(ConcurrencyLimiter::ServiceSample{.took = Milliseconds(100)},
               kStart);
  gate.Acquire(2, Urgency::Of(kStart + Seconds(1)), kStart);
  return gate;
}

TEST(ConcurrencyLimiterAcquire,
     WantedTimeCanNotBeKept_IsRefusedThoughTheDeadlineCould) {
  ConcurrencyLimiter gate = BusyGate(4);
  const Urgency late{.soft_deadline = kStart + Milliseconds(150),
                     .deadline = kStart + Seconds(1)};
  EXPECT_EQ(gate.Acquire(3, late, kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
}

TEST(ConcurrencyLimiterAcquire, TargetTooSlowForTheWantedTime_StillServesLate) {
  ConcurrencyLimiter gate = BusyGate(4);
  const Urgency hopeless{.soft_deadline = kStart + Milliseconds(50),
                         .deadline = kStart + Seconds(1)};
  EXPECT_EQ(gate.Acquire(3, hopeless, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
}

TEST(ConcurrencyLimiterAcquire, FullQueue_GivesTheLastPlaceToTheMoreUrgent) {
  ConcurrencyLimiter gate = BusyGate(1);
  const MonoTime deadline = kStart + Seconds(1);
  const Urgency low{
      .priority = 2, .soft_deadline = deadline, .deadline = deadline};
  const Urgency high{
      .priority = 1, .soft_deadline = deadline, .deadline = deadline};
  EXPECT_EQ(gate.Acquire(3, low, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
  EXPECT_EQ(gate.Acquire(4, low, kStart),
            ConcurrencyLimiter::AdmitResult::kFull);
  EXPECT_EQ(gate.Acquire(5, high, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
  EXPECT_EQ(gate.displaced(), 3U);
  EXPECT_EQ(gate.waiting(), 1U);
}

TEST(ConcurrencyLimiterRelease, HigherPriority_GoesFirst) {
  ConcurrencyLimiter gate = BusyGate(4);
  const MonoTime deadline = kStart + Seconds(1);
  gate.Acquire(3,
               {.priority = 2, .soft_deadline = deadline, .deadline = deadline},
               kStart);
  gate.Acquire(4,
               {.priority = 1, .soft_deadline = deadline, .deadline = deadline},
               kStart);
  EXPECT_EQ(gate.Release(std::nullopt, kStart).granted, 4U);
}

TEST(ConcurrencyLimiterRelease, LateAlready_YieldsToWhatIsStillInTime) {
  ConcurrencyLimiter gate = BusyGate(4);
  const MonoTime deadline = kStart + Seconds(1);
  gate.Acquire(
      3, {.soft_deadline = kStart + Milliseconds(220), .deadline = deadline},
      kStart);
  gate.Acquire(
      4, {.soft_deadline = kStart + Milliseconds(600), .deadline = deadline},
      kStart);
  const MonoTime later = kStart + Milliseconds(200);
  EXPECT_EQ(gate.Release(std::nullopt, later).granted, 4U);
  EXPECT_EQ(gate.Release(std::nullopt, later).granted, 3U);
}

TEST(ConcurrencyLimiterAcquire, ClassesOfWork_AreJudgedByTheirOwnTimes) {
  ConcurrencyLimiter gate({.slots = 1, .queue = 4});
  const MonoTime deadline = kStart + Seconds(1);
  for (const std::uint32_t work_class : {1U, 2U}) {
    gate.Acquire(1, Urgency::Of(deadline), kStart);
    gate.Release(
        ConcurrencyLimiter::ServiceSample{
            .work_class = work_class,
            .took = Milliseconds(work_class == 1 ? 10 : 500)},
        kStart);
  }
  gate.Acquire(1, Urgency::Of(deadline), kStart);
  const MonoTime wanted = kStart + Milliseconds(300);
  const Urgency quick{
      .soft_deadline = wanted, .deadline = wanted, .work_class = 1};
  const Urgency slow{
      .soft_deadline = wanted, .deadline = wanted, .work_class = 2};
  EXPECT_EQ(gate.Acquire(2, quick, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
  EXPECT_EQ(gate.Acquire(3, slow, kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
}

TEST(ConcurrencyLimiterAcquire, WorkVaries_IsRefusedWhenItWouldLikelyBeLate) {
  ConcurrencyLimiter gate({.slots = 1, .queue = 4});
  const MonoTime deadline = kStart + Seconds(1);
  for (int request = 0; request < 100; ++request) {
    gate.Acquire(1, Urgency::Of(deadline), kStart);
    gate.Release(ConcurrencyLimiter::ServiceSample{.took = Milliseconds(
                                                       50 + request % 2 * 100)},
                 kStart);
  }
  gate.Acquire(1, Urgency::Of(deadline), kStart);
  // 100 ms to wait, and 50 to 150 ms to run.
  const Urgency tight{.soft_deadline = kStart + Milliseconds(210),
                      .deadline = deadline};
  const Urgency easy{.soft_deadline = kStart + Milliseconds(270),
                     .deadline = deadline};
  EXPECT_EQ(gate.Acquire(2, tight, kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
  EXPECT_EQ(gate.Acquire(3, easy, kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
}

TEST(ConcurrencyLimiterAcquire, DeadlineCanNotBeKept_IsRefusedAtOnce) {
  ConcurrencyLimiter gate({.slots = 1, .queue = 4});
  gate.Acquire(1, Urgency::Of(kStart + Seconds(1)), kStart);
  gate.Release(ConcurrencyLimiter::ServiceSample{.took = Milliseconds(100)},
               kStart);
  gate.Acquire(2, Urgency::Of(kStart + Seconds(1)), kStart);
  EXPECT_EQ(gate.Acquire(3, Urgency::Of(kStart + Milliseconds(150)), kStart),
            ConcurrencyLimiter::AdmitResult::kTooLate);
  EXPECT_EQ(gate.Acquire(4, Urgency::Of(kStart + Milliseconds(250)), kStart),
            ConcurrencyLimiter::AdmitResult::kQueued);
}

TEST(DeathTrackerOnDeath, OneRequestAlone_IsBlamed) {
  DeathTracker tracker;
  tracker.OnStart(TargetId("a"), 7, false);
  EXPECT_EQ(tracker.OnDeath(TargetId("a")), std::vector<std::uint64_t>{7});
}

TEST(DeathTrackerOnDeath, AnsweredLatelyAmongOthers_IsNotBlamed) {
  DeathTracker tracker;
  tracker.OnStart(TargetId("b"), 1, false);
  tracker.OnEnd(TargetId("b"), 1, true);
  tracker.OnStart(TargetId("a"), 1, false);
  tracker.OnStart(TargetId("a"), 7, false);
  EXPECT_EQ(tracker.OnDeath(TargetId("a")), std::vector<std::uint64_t>{7});
}

TEST(DeathTrackerOnDeath, SuspectAmongOthers_AloneIsBlamed) {
  DeathTracker tracker;
  tracker.OnStart(TargetId("a"), 1, false);
  tracker.OnStart(TargetId("a"), 7, true);
  EXPECT_FALSE(tracker.MayStartSuspect(TargetId("a"), 8));
  EXPECT_TRUE(tracker.MayStartSuspect(TargetId("b"), 8));
  EXPECT_EQ(tracker.OnDeath(TargetId("a")), std::vector<std::uint64_t>{7});
  EXPECT_TRUE(tracker.OnDeath(TargetId("a")).empty());
}

}  // namespace
}  // namespace camphor

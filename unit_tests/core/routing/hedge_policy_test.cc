#include "core/routing/hedge_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <string>
#include <tuple>
#include <vector>

namespace camphor {
namespace {

using Verdict = HedgePolicy::Verdict;

constexpr std::size_t kManyRequests = 1000;
constexpr Microseconds kUsual{10'000};

// A pool of five targets, of which `first` runs the request to be hedged.
class HedgeDecision : public testing::Test {
 protected:
  HedgeDecision() {
    for (int index = 0; index < 5; ++index)
      targets_.emplace_back("t" + std::to_string(index));
    retries_.SetHosts(1);
  }

  HedgePolicy::Attempt At(const TargetId& target) const {
    return {.route = &route_, .pool = &pool_, .target = &target};
  }

  // Requests to all targets in turn, with latencies of 90% to 109% of `usual`.
  void Learn(HedgePolicy& policy, std::size_t requests = kManyRequests,
             Microseconds usual = kUsual) {
    for (std::size_t request = 0; request < requests; ++request) {
      policy.OnRequest(pool_);
      retries_.OnRequest(pool_);
      const Microseconds latency =
          usual * static_cast<int>(90 + request % 20) / 100;
      policy.OnEnded(At(targets_[request % targets_.size()]), latency, false,
                     now_);
    }
  }

  // Requests to all targets in turn that exceed the delay.
  void MakePoolSlow() {
    for (int request = 0; request < 20; ++request)
      policy_.OnDelayPassed(At(targets_[request % targets_.size()]), now_);
  }

  HedgePolicy::Candidate MakeCandidate() const {
    return {.attempt = At(targets_[0]),
            .repeatable = true,
            .targets = 1,
            .max_targets = 3,
            .usable_targets = 5,
            .targets_with_room = 5,
            .time_left = Microseconds(1'000'000)};
  }

  const RouteName route_{"get"};
  const PoolName pool_{"billing"};
  std::vector<TargetId> targets_;
  MonoTime now_{Seconds(1000)};
  RetryBudget retries_{{.ratio = 0.2, .burst = 100}};
  HedgePolicy policy_{{.share = 0.1}};
};

TEST_F(HedgeDecision, LearnedRoute_DelayIsItsUpperQuantile) {
  Learn(policy_);
  const auto delay = policy_.Delay(route_);
  ASSERT_TRUE(delay);
  EXPECT_GE(*delay, kUsual * 105 / 100);
  EXPECT_LE(*delay, kUsual * 110 / 100);
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_), Verdict::kAllowed);
}

// Guards against a delay that rests on too few responses.
TEST_F(HedgeDecision, FewResponses_NoDelayIsKnown) {
  Learn(policy_, 99);
  EXPECT_FALSE(policy_.Delay(route_));
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_), Verdict::kOff);
}

// Guards against a delay that stays at what the route was once.
TEST_F(HedgeDecision, RouteBecomesSlower_DelayFollows) {
  Learn(policy_);
  Learn(policy_, 2 * kManyRequests, 3 * kUsual);
  EXPECT_GE(*policy_.Delay(route_), 3 * kUsual);
}

TEST_F(HedgeDecision, NoShare_NothingIsLearnedOrAllowed) {
  HedgePolicy off({});
  Learn(off);
  EXPECT_FALSE(off.enabled());
  EXPECT_FALSE(off.Delay(route_));
  EXPECT_EQ(off.Decide(MakeCandidate(), retries_, now_), Verdict::kOff);
}

// Guards against the second run of a request that may run once only.
TEST_F(HedgeDecision, NotRepeatable_IsUnsafe) {
  Learn(policy_);
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.repeatable = false;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kUnsafe);
}

// Guards against a request that kills two targets at once.
TEST_F(HedgeDecision, TargetDiedUnderRequest_IsUnsafe) {
  Learn(policy_);
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.target_died = true;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kUnsafe);
}

TEST_F(HedgeDecision, AttemptsLimitReached_IsDenied) {
  Learn(policy_);
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.max_targets = 1;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kAttempts);
}

TEST_F(HedgeDecision, LessTimeThanTheMedian_IsTooLate) {
  Learn(policy_);
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.time_left = kUsual * 9 / 10;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kTooLate);
}

TEST_F(HedgeDecision, MostTargetsFull_HasNoRoom) {
  Learn(policy_);
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.targets_with_room = 2;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kNoRoom);
  candidate.targets_with_room = 3;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kAllowed);
}

// Guards against more load on a pool that is slow because of its load.
TEST_F(HedgeDecision, AllTargetsExceedTheDelay_PoolIsSlow) {
  Learn(policy_);
  MakePoolSlow();
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
            Verdict::kPoolSlow);
}

// Guards against a slow target that keeps its own requests from being hedged.
TEST_F(HedgeDecision, OnlyItsTargetExceedsTheDelay_IsAllowed) {
  Learn(policy_);
  for (int request = 0; request < 20; ++request)
    policy_.OnDelayPassed(At(targets_[0]), now_);
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_), Verdict::kAllowed);
}

// Guards against a decision by what the other targets were long ago.
TEST_F(HedgeDecision, NoRecentAttemptOfOtherTargets_IsDenied) {
  Learn(policy_);
  now_ += Seconds(11);
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
            Verdict::kPoolSlow);
}

TEST_F(HedgeDecision, NoFurtherRequests_ShareIsUsedUp) {
  Learn(policy_);
  for (int hedge = 0; hedge < 10; ++hedge) {
    EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
              Verdict::kAllowed);
  }
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
            Verdict::kShareUsedUp);
}

// Guards against hedges that come on top of the limit of retries.
TEST_F(HedgeDecision, RetryBudgetUsedUp_IsDeniedAndTakesNoShare) {
  Learn(policy_);
  RetryBudget empty({.ratio = 0, .burst = 0});
  while (empty.TryAcquire(pool_)) {
  }
  EXPECT_EQ(policy_.Decide(MakeCandidate(), empty, now_),
            Verdict::kRetriesUsedUp);
  for (int hedge = 0; hedge < 10; ++hedge) {
    EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
              Verdict::kAllowed);
  }
}

TEST_F(HedgeDecision, Hedge_TakesATokenOfTheRetryBudget) {
  Learn(policy_);
  RetryBudget one({.ratio = 0, .burst = 0});
  EXPECT_EQ(policy_.Decide(MakeCandidate(), one, now_), Verdict::kAllowed);
  EXPECT_FALSE(one.TryAcquire(pool_));
}

// Guards against extra work beyond the limit, in any window and on any number
// of hosts, whatever the latencies are.
TEST_F(HedgeDecision, AnyLatencies_NoWindowExceedsTheShare) {
  double allowed = 0;
  EXPECT_TRUE(rc::check([this, &allowed] {
    const double share = *rc::gen::element(0.01, 0.05, 0.1, 0.2);
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 8);
    // Host, target, latency in milliseconds, requests that want a hedge. Few
    // are slow, since a pool that is slow as a whole gets no hedges.
    using Step = std::tuple<int, int, int, int>;
    const auto latencies = rc::gen::weightedOneOf<int>(
        {{19, rc::gen::inRange(0, 11)}, {1, rc::gen::inRange(0, 3000)}});
    const auto steps = *rc::gen::container<std::vector<Step>>(
        400, rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(0, 5),
                            latencies, rc::gen::inRange(0, 4)));
    std::deque<HedgePolicy> policies;
    for (std::size_t host = 0; host < hosts; ++host)
      policies.emplace_back(HedgePolicy::Options{.share = share});
    RetryBudget unlimited({.unlimited = true});
    double max_tokens = 0;
    for (HedgePolicy& policy : policies) {
      policy.SetHosts(hosts);
      max_tokens += policy.max_tokens();
      Learn(policy);
    }
    MonoTime now = now_;
    std::vector<double> requests{0};
    std::vector<double> hedges{0};
    for (const auto& [host, target, latency, wanted] : steps) {
      HedgePolicy& policy = policies[static_cast<std::size_t>(host) % hosts];
      const HedgePolicy::Attempt attempt =
          At(targets_[static_cast<std::size_t>(target)]);
      policy.OnRequest(pool_);
      requests.push_back(requests.back() + 1);
      hedges.push_back(hedges.back());
      for (int hedge = 0; hedge < wanted; ++hedge) {
        HedgePolicy::Candidate candidate = MakeCandidate();
        candidate.attempt = attempt;
        if (policy.Decide(candidate, unlimited, now) == Verdict::kAllowed)
          hedges.back() += 1;
      }
      now += Milliseconds(latency) / 100;
      policy.OnEnded(attempt, Milliseconds(latency), false, now);
    }
    allowed += hedges.back();
    for (std::size_t from = 0; from < requests.size(); ++from) {
      for (std::size_t to = from + 1; to < requests.size(); ++to) {
        RC_ASSERT(hedges[to] - hedges[from] <=
                  share * (requests[to] - requests[from]) + max_tokens + 1e-6);
      }
    }
  }));
  // Guards against a property that holds because nothing is ever hedged.
  EXPECT_GT(allowed, 100);
}

// Guards against a route whose quantile lies beyond its objective and whose
// requests therefore never get a hedge.
TEST_F(HedgeDecision, SlowTarget_DelayEndsWhileTheObjectiveCanBeMet) {
  for (std::size_t request = 0; request < kManyRequests; ++request) {
    policy_.OnRequest(pool_);
    policy_.OnEnded(At(targets_[request % targets_.size()]),
                    request % 10 == 0 ? 10 * kUsual : kUsual, false, now_);
  }
  const Microseconds slow = *policy_.Delay(route_);
  ASSERT_GT(slow, 5 * kUsual);
  const auto delays = policy_.ChooseDelays(
      route_, {}, {.time_left = 3 * kUsual, .relative_latency = 2});
  ASSERT_TRUE(delays);
  EXPECT_EQ(delays->slow, slow);
  EXPECT_LT(delays->hedge, 2 * kUsual);
  EXPECT_GE(delays->hedge, 2 * kUsual * 9 / 10);
  // With time enough, the quantile is the smaller one.
  EXPECT_EQ(policy_
                .ChooseDelays(route_, {},
                              {.time_left = 20 * kUsual, .relative_latency = 2})
                ->hedge,
            slow);
  // Decide must not find the hedge too late when it is sent on time.
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.early = true;
  candidate.relative_latency = 2;
  candidate.time_left = 3 * kUsual - delays->hedge;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kAllowed);
}

// Guards against a share that is spent on the many requests of a route that
// pass the shorter delay and are in time anyway.
TEST_F(HedgeDecision, TargetIsNotExpectedToBeSlow_DelayIsTheQuantile) {
  Learn(policy_);
  for (const double relative : {0.0, 1.0, 1.4}) {
    const auto delays = policy_.ChooseDelays(
        route_, {},
        {.time_left = kUsual * 3 / 2, .relative_latency = relative});
    ASSERT_TRUE(delays);
    EXPECT_EQ(delays->hedge, *policy_.Delay(route_));
  }
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.early = true;
  candidate.relative_latency = 1.9;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kTargetNotSlow);
  for (int hedge = 0; hedge < 10; ++hedge) {
    EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
              Verdict::kAllowed);
  }
}

// Guards against a hedge at once where no time is left for any.
TEST_F(HedgeDecision, ObjectiveCannotBeMet_DelayIsTheQuantile) {
  Learn(policy_);
  for (const Microseconds left :
       {Microseconds(-1), Microseconds(0), kUsual / 2, kUsual}) {
    const auto delays = policy_.ChooseDelays(
        route_, {}, {.time_left = left, .relative_latency = 3});
    ASSERT_TRUE(delays);
    EXPECT_EQ(delays->hedge, delays->slow);
  }
}

// Guards against early hedges that get past the rule on slow pools.
TEST_F(HedgeDecision, PoolIsSlow_NoEarlyHedgeIsAllowed) {
  Learn(policy_);
  MakePoolSlow();
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.early = true;
  candidate.relative_latency = 3;
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kPoolSlow);
}

// Guards against cancelled attempts that make a slow pool look fast: until they
// were cancelled, they hadn't taken long enough to count as slow.
TEST_F(HedgeDecision, AttemptsAreCancelledEarly_PoolStaysSlow) {
  Learn(policy_);
  MakePoolSlow();
  for (std::size_t request = 0; request < 100; ++request)
    policy_.OnEnded(At(targets_[request % targets_.size()]), kUsual, true,
                    now_);
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
            Verdict::kPoolSlow);
}

// Guards against hedges of a route that its operator has excluded, which could
// be paid for by the other routes of its pool.
TEST_F(HedgeDecision, RouteShareOfZero_IsOffAndDepositsNothing) {
  Learn(policy_);
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.attempt.share = 0;
  EXPECT_FALSE(policy_.enabled(0));
  EXPECT_FALSE(policy_.Delay(route_, 0));
  EXPECT_EQ(policy_.Decide(candidate, retries_, now_), Verdict::kOff);
  for (int hedge = 0; hedge < 10; ++hedge)
    policy_.Decide(MakeCandidate(), retries_, now_);
  for (int request = 0; request < 100; ++request) policy_.OnRequest(pool_, 0);
  EXPECT_EQ(policy_.Decide(MakeCandidate(), retries_, now_),
            Verdict::kShareUsedUp);
}

// Guards against a route whose share has no effect because the setting is 0.
TEST_F(HedgeDecision, RouteShareWithoutTheSetting_IsHedged) {
  HedgePolicy off({});
  HedgePolicy::Candidate candidate = MakeCandidate();
  candidate.attempt.share = 0.1;
  for (std::size_t request = 0; request < kManyRequests; ++request) {
    off.OnRequest(pool_, 0.1);
    retries_.OnRequest(pool_);
    HedgePolicy::Attempt attempt = At(targets_[request % targets_.size()]);
    attempt.share = 0.1;
    off.OnEnded(attempt, kUsual, false, now_);
  }
  EXPECT_TRUE(off.Delay(route_, 0.1));
  EXPECT_EQ(off.Decide(candidate, retries_, now_), Verdict::kAllowed);
  EXPECT_EQ(off.Decide(MakeCandidate(), retries_, now_), Verdict::kOff);
}

// Guards against a share below 5% that is spent on requests that are not among
// the slowest 1%.
TEST_F(HedgeDecision, SmallRouteShare_DelayIsALaterQuantile) {
  for (std::size_t request = 0; request < kManyRequests; ++request) {
    policy_.OnEnded(At(targets_[0]), request % 50 == 0 ? 10 * kUsual : kUsual,
                    false, now_);
  }
  EXPECT_LT(*policy_.Delay(route_, 0.05), 2 * kUsual);
  EXPECT_GT(*policy_.Delay(route_, 0.04), 2 * kUsual);
}

// Guards against extra work beyond the limit where the routes of a pool have
// different shares, in any window and on any number of hosts, whatever the
// latencies are.
TEST_F(HedgeDecision, AnySharesOfRoutes_NoWindowExceedsTheirSum) {
  double allowed = 0;
  EXPECT_TRUE(rc::check([this, &allowed] {
    const std::vector<RouteName> routes{RouteName("a"), RouteName("b"),
                                        RouteName("c")};
    const auto shares = *rc::gen::container<std::vector<double>>(
        routes.size(), rc::gen::element(0.0, 0.01, 0.05, 0.2, 1.0));
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 8);
    // Host, route, target, latency in milliseconds, requests that want a
    // hedge. Few are slow, since a pool that is slow as a whole gets no hedges.
    using Step = std::tuple<std::size_t, std::size_t, std::size_t, int, int>;
    const auto latencies = rc::gen::weightedOneOf<int>(
        {{19, rc::gen::inRange(0, 11)}, {1, rc::gen::inRange(0, 3000)}});
    const auto steps = *rc::gen::container<std::vector<Step>>(
        400, rc::gen::tuple(rc::gen::inRange<std::size_t>(0, hosts),
                            rc::gen::inRange<std::size_t>(0, routes.size()),
                            rc::gen::inRange<std::size_t>(0, targets_.size()),
                            latencies, rc::gen::inRange(0, 4)));
    // The first route follows the setting, the others have a field.
    const auto share_of = [&](std::size_t route) {
      return route == 0 ? HedgePolicy::RouteShare() : shares[route];
    };
    std::deque<HedgePolicy> policies;
    double max_tokens = 0;
    RetryBudget unlimited({.unlimited = true});
    for (std::size_t host = 0; host < hosts; ++host) {
      HedgePolicy& policy =
          policies.emplace_back(HedgePolicy::Options{.share = shares[0]});
      policy.SetHosts(hosts);
      max_tokens += policy.max_tokens();
      for (std::size_t request = 0; request < 300; ++request) {
        const std::size_t route = request % routes.size();
        HedgePolicy::Attempt attempt = At(targets_[request % targets_.size()]);
        attempt.route = &routes[route];
        attempt.share = share_of(route);
        policy.OnRequest(pool_, attempt.share);
        policy.OnEnded(attempt,
                       kUsual * static_cast<int>(90 + request % 20) / 100,
                       false, now_);
      }
    }
    MonoTime now = now_;
    std::vector<double> deposits{0};
    std::vector<double> hedges{0};
    for (const auto& [host, route, target, latency, wanted] : steps) {
      HedgePolicy& policy = policies[host];
      HedgePolicy::Candidate candidate = MakeCandidate();
      candidate.attempt = At(targets_[target]);
      candidate.attempt.route = &routes[route];
      candidate.attempt.share = share_of(route);
      policy.OnRequest(pool_, candidate.attempt.share);
      deposits.push_back(deposits.back() + shares[route]);
      hedges.push_back(hedges.back());
      for (int hedge = 0; hedge < wanted; ++hedge) {
        if (policy.Decide(candidate, unlimited, now) != Verdict::kAllowed)
          continue;
        hedges.back() += 1;
        RC_ASSERT(shares[route] > 0);
      }
      now += Milliseconds(latency) / 100;
      policy.OnEnded(candidate.attempt, Milliseconds(latency), false, now);
    }
    allowed += hedges.back();
    for (std::size_t from = 0; from < deposits.size(); ++from) {
      for (std::size_t to = from + 1; to < deposits.size(); ++to) {
        RC_ASSERT(hedges[to] - hedges[from] <=
                  deposits[to] - deposits[from] + max_tokens + 1e-6);
      }
    }
  }));
  // Guards against a property that holds because nothing is ever hedged.
  EXPECT_GT(allowed, 100);
}

}  // namespace
}  // namespace camphor

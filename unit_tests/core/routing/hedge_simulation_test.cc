#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/routing/hedge_policy.h"
#include "core/routing/power_of_two_balancer.h"

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

// A route like those of docs/CAPACITY.md: median 280 ms, objective 600 ms, and
// 7% to 10% of the requests miss it.
struct HedgeSimulationOptions {
  std::uint64_t seed = 1;
  std::size_t hosts = 4;
  std::size_t targets = 12;
  std::size_t slow_targets = 0;      ///< of those, slower by kSlowFactor
  std::size_t requests = 12'000;     ///< of all hosts together
  double requests_per_second = 200;  ///< of all hosts together
  double share = 0.05;               ///< of the route
  double sigma = 0.5;                ///< of the lognormal latency of a target
  Milliseconds objective{600};
  bool early = true;        ///< false: hedges only after the quantile
  double later_factor = 1;  ///< latency of all targets in the second half
};

constexpr double kSlowFactor = 3;
constexpr double kMedianUs = 280'000;

struct HedgeSimulationResult {
  std::size_t hedges = 0;
  std::size_t hedges_of_slow_targets = 0;  ///< whose primary ran on one
  std::size_t early_hedges = 0;            ///< before the quantile
  std::size_t hedges_too_late = 0;  ///< sent with clearly less time left than
                                    ///< the median of the usual targets
  std::size_t later_hedges = 0;     ///< in the second half
  std::size_t late = 0;             ///< responses that miss the objective
  std::size_t late_of_slow_targets = 0;
};

// Runs requests of one route through the balancer and the hedge policy of each
// host. Latencies depend on the seed and the number of the request only, so
// that runs with different rules compare the same requests.
class HedgeSimulation {
 public:
  explicit HedgeSimulation(HedgeSimulationOptions options)
      : options_(options), routing_(MakeRouting()) {
    for (std::size_t host = 0; host < options_.hosts; ++host) {
      Host& added = hosts_.emplace_back(
          PowerOfTwoBalancer::Options{.domain = FailureDomain("own"),
                                      .random_seed = options_.seed + host},
          HedgePolicy::Options{.share = options_.share});
      added.balancer.SetRouting(routing_, kStart);
      added.policy.SetHosts(options_.hosts);
      added.retries.SetHosts(options_.hosts);
    }
  }

  HedgeSimulationResult Run() {
    std::mt19937_64 arrivals(options_.seed);
    std::exponential_distribution<double> gap(options_.requests_per_second);
    double at_s = 0;
    for (std::size_t index = 0; index < options_.requests; ++index) {
      at_s += gap(arrivals);
      Schedule(kStart + ToTime(at_s * 1e6), [this, index] { Arrive(index); });
    }
    while (!events_.empty()) {
      const auto next = events_.begin();
      now_ = next->first;
      const std::function<void()> event = std::move(next->second);
      events_.erase(next);
      event();
    }
    return result_;
  }

 private:
  struct Host {
    Host(PowerOfTwoBalancer::Options balancing, HedgePolicy::Options hedging)
        : balancer(std::move(balancing)), policy(hedging) {}

    PowerOfTwoBalancer balancer;
    HedgePolicy policy;
    RetryBudget retries{{.ratio = 0.2, .burst = 100}};
  };

  struct Request {
    std::size_t index = 0;
    Host* host = nullptr;
    MonoTime sent{};
    Placement primary{};
    std::optional<Placement> hedge{};
    MonoTime hedge_sent{};
    HedgePolicy::Delays delays{};
    bool slow = false;  ///< reported by OnDelayPassed
    bool ended = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  static Microseconds ToTime(double us) {
    return Microseconds(static_cast<std::int64_t>(us));
  }

  EffectiveRoutingPtr MakeRouting() const {
    EffectiveRouting routing;
    routing.routes.push_back(
        {.rule = std::make_shared<const RouteRule>(
             RouteRule{.name = route_, .target_latency = options_.objective})});
    PoolRouting pool{.spec = {.name = pool_}};
    VersionGroup group{.version = TargetVersion("v1")};
    group.share_ppm = 1'000'000;
    for (std::size_t index = 0; index < options_.targets; ++index) {
      group.targets.push_back(
          {.info = {.id = TargetId("t" + std::to_string(index)), .slots = 500},
           .domain = FailureDomain("own")});
    }
    pool.groups.push_back(std::move(group));
    routing.pools.push_back(std::move(pool));
    return std::make_shared<const EffectiveRouting>(std::move(routing));
  }

  const TargetId& IdOf(const Placement& placement) const {
    return routing_->pools[0].groups[0].targets[placement.target].info.id;
  }

  HedgePolicy::Attempt AttemptAt(const Placement& placement) const {
    return {.route = &route_, .pool = &pool_, .target = &IdOf(placement)};
  }

  PowerOfTwoBalancer::RequestInfo InfoAt(const Placement& placement) const {
    return {.route = &route_, .pool = &pool_, .target = &IdOf(placement)};
  }

  bool IsSlowTarget(const Placement& placement) const {
    return placement.target < options_.slow_targets;
  }

  bool IsLaterHalf(std::size_t index) const {
    return 2 * index >= options_.requests;
  }

  void Schedule(MonoTime at, std::function<void()> event) {
    events_.emplace(at, std::move(event));
  }

  Microseconds Latency(std::size_t index, const Placement& placement,
                       int attempt) const {
    std::seed_seq seed{options_.seed, std::uint64_t{index},
                       static_cast<std::uint64_t>(attempt)};
    std::mt19937_64 random(seed);
    double us = std::lognormal_distribution<double>(std::log(kMedianUs),
                                                    options_.sigma)(random);
    if (IsSlowTarget(placement)) us *= kSlowFactor;
    if (IsLaterHalf(index)) us *= options_.later_factor;
    return ToTime(us);
  }

  void Arrive(std::size_t index) {
    Host& host = hosts_[index % hosts_.size()];
    host.policy.OnRequest(pool_);
    host.retries.OnRequest(pool_);
    const auto placement = host.balancer.Choose(0, {}, now_);
    ASSERT_TRUE(placement);
    const auto request = std::make_shared<Request>(Request{
        .index = index, .host = &host, .sent = now_, .primary = *placement});
    host.balancer.OnSent(IdOf(*placement));
    Schedule(now_ + Latency(index, *placement, 0),
             [this, request] { EndPrimary(*request); });
    const auto delays = host.policy.ChooseDelays(
        route_, {},
        {.time_left = options_.early ? Microseconds(options_.objective)
                                     : Microseconds(0),
         .relative_latency =
             host.balancer.RelativeLatency(IdOf(*placement), now_)});
    if (!delays) return;
    request->delays = *delays;
    Schedule(now_ + delays->slow, [this, request] {
      if (request->ended) return;
      request->slow = true;
      request->host->policy.OnDelayPassed(AttemptAt(request->primary), now_);
    });
    Schedule(now_ + delays->hedge, [this, request] { Hedge(request); });
  }

  void Hedge(const RequestPtr& request) {
    if (request->ended) return;
    Host& host = *request->host;
    const std::vector<Placement> tried{request->primary};
    const auto placement = host.balancer.ChooseWithRoom(0, 0, tried, now_);
    if (!placement) return;
    const auto room = host.balancer.CountRoom(0, 0, now_);
    const Microseconds time_left = std::chrono::duration_cast<Microseconds>(
        request->sent + options_.objective - now_);
    const bool early = request->delays.hedge < request->delays.slow;
    const HedgePolicy::Verdict verdict = host.policy.Decide(
        {.attempt = AttemptAt(request->primary),
         .repeatable = true,
         .targets = 1,
         .max_targets = 2,
         .usable_targets = room.usable,
         .targets_with_room = room.with_room,
         .time_left = time_left,
         .early = early,
         .relative_latency =
             host.balancer.RelativeLatency(IdOf(request->primary), now_) /
             host.balancer.RelativeLatency(IdOf(*placement), now_)},
        host.retries, now_);
    if (verdict != HedgePolicy::Verdict::kAllowed) return;
    request->hedge = *placement;
    request->hedge_sent = now_;
    host.balancer.OnSent(IdOf(*placement));
    ++result_.hedges;
    if (early) ++result_.early_hedges;
    if (IsLaterHalf(request->index)) ++result_.later_hedges;
    if (IsSlowTarget(request->primary)) ++result_.hedges_of_slow_targets;
    if (time_left < ToTime(kMedianUs * 0.9)) ++result_.hedges_too_late;
    Schedule(now_ + Latency(request->index, *placement, 1),
             [this, request] { EndHedge(*request); });
  }

  void EndPrimary(Request& request) {
    if (std::exchange(request.ended, true)) return;
    End(request, request.primary, request.sent);
    request.host->policy.OnEnded(AttemptAt(request.primary),
                                 Since(request.sent), request.slow, now_);
    if (request.hedge) Cancel(request, *request.hedge, request.hedge_sent);
  }

  void EndHedge(Request& request) {
    if (std::exchange(request.ended, true)) return;
    End(request, *request.hedge, request.hedge_sent);
    request.host->policy.OnEnded(AttemptAt(request.primary),
                                 Since(request.sent), true, now_);
    Cancel(request, request.primary, request.sent);
  }

  void End(const Request& request, const Placement& placement, MonoTime sent) {
    request.host->balancer.OnEnded(InfoAt(placement), RequestOutcome::kSuccess,
                                   Since(sent), now_);
    if (now_ - request.sent <= options_.objective) return;
    ++result_.late;
    if (IsSlowTarget(request.primary)) ++result_.late_of_slow_targets;
  }

  void Cancel(const Request& request, const Placement& placement,
              MonoTime sent) {
    request.host->balancer.OnEnded(
        InfoAt(placement), RequestOutcome::kCancelled, Since(sent), now_);
  }

  Microseconds Since(MonoTime sent) const {
    return std::chrono::duration_cast<Microseconds>(now_ - sent);
  }

  HedgeSimulationOptions options_;
  const RouteName route_{"tiles"};
  const PoolName pool_{"tiles"};
  EffectiveRoutingPtr routing_;
  std::deque<Host> hosts_;
  std::multimap<MonoTime, std::function<void()>> events_;
  MonoTime now_{};
  HedgeSimulationResult result_;
};

HedgeSimulationResult Simulate(const HedgeSimulationOptions& options) {
  return HedgeSimulation(options).Run();
}

// Guards against more work for a pool whose targets all become slow: a hedge
// before the quantile must not get past the rule on slow pools. The quantile
// alone sends none here, since it lies too close to the objective.
TEST(HedgeSimulationRun, AllTargetsBecomeSlow_NoMoreHedgesThanByTheQuantile) {
  for (const double sigma : {0.3, 0.5}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      HedgeSimulationOptions options{.seed = seed,
                                     .requests = 6000,
                                     .share = 0.2,
                                     .sigma = sigma,
                                     .later_factor = 3};
      const HedgeSimulationResult early = Simulate(options);
      options.early = false;
      const HedgeSimulationResult by_quantile = Simulate(options);
      EXPECT_LE(early.later_hedges, by_quantile.later_hedges)
          << "seed " << seed << ", sigma " << sigma;
    }
  }
}

// The same for a pool whose objective leaves time after the quantile, so that
// the quantile alone does send hedges until the rule on slow pools ends them.
TEST(HedgeSimulationRun,
     AllTargetsBecomeSlowWithALongObjective_NoMoreHedgesThanByTheQuantile) {
  std::size_t hedges = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    HedgeSimulationOptions options{.seed = seed,
                                   .requests = 6000,
                                   .share = 0.2,
                                   .objective = Milliseconds(1500),
                                   .later_factor = 3};
    const HedgeSimulationResult early = Simulate(options);
    options.early = false;
    const HedgeSimulationResult by_quantile = Simulate(options);
    EXPECT_LE(early.later_hedges, by_quantile.later_hedges) << "seed " << seed;
    hedges += by_quantile.later_hedges;
  }
  // Guards against a comparison of nothing with nothing.
  EXPECT_GT(hedges, 0U);
}

// Guards against a route whose quantile lies beyond its objective and whose
// slowest requests get no hedge, against hedges that come too late, and against
// a share that is spent on the many requests that are in time anyway.
TEST(HedgeSimulationRun, FewSlowTargets_TheirRequestsAreHedgedInTime) {
  for (const double share : {0.05, 0.2}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      HedgeSimulationOptions options{
          .seed = seed, .slow_targets = 2, .requests = 6000, .share = share};
      const HedgeSimulationResult early = Simulate(options);
      options.early = false;
      const HedgeSimulationResult by_quantile = Simulate(options);
      SCOPED_TRACE(testing::Message() << "seed " << seed << ", " << share);
      EXPECT_EQ(by_quantile.hedges, 0U);
      EXPECT_GT(early.hedges_of_slow_targets, 0U);
      EXPECT_GE(early.hedges_of_slow_targets * 10, early.hedges * 9);
      EXPECT_EQ(early.hedges_too_late, 0U);
      EXPECT_LT(early.late_of_slow_targets, by_quantile.late_of_slow_targets);
      EXPECT_LT(early.late, by_quantile.late);
      EXPECT_LE(static_cast<double>(early.hedges),
                share * static_cast<double>(options.requests) + 10);
    }
  }
}

}  // namespace
}  // namespace camphor

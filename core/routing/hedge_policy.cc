#include "core/routing/hedge_policy.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cassert>
#include <functional>

namespace camphor {
namespace {

namespace acc = boost::accumulators;

// Median, and the quantiles after which a request counts as slow.
constexpr std::array kQuantiles = {0.5, 0.95, 0.99};
constexpr std::size_t kMedian = 0;
constexpr std::size_t kUsualDelay = 1;
constexpr std::size_t kLateDelay = 2;

// A smaller share couldn't serve the slowest 5% of the requests. It goes to the
// slowest 1%, where a hedge gains most.
constexpr double kShareForUsualDelay = 0.05;

// Responses until a quantile is used. The 0.99 quantile of 100 rests on one.
constexpr std::size_t kMinSamples = 100;

// Responses after which the estimate starts anew, so that it follows a route
// that becomes slower or faster.
constexpr std::size_t kEpochSamples = 512;

// A shorter delay would be within the jitter of timers and of the network.
constexpr Microseconds kMinDelay{1000};

// Bounds the memory, since configuration changes add and remove routes and
// pools. Everything is cleared at the limit and builds up again.
constexpr std::size_t kMaxRoutes = 4096;
constexpr std::size_t kMaxPools = 4096;

// Attempts of a pool that are remembered to tell a slow pool from a slow
// target, for how long, and how many of other targets are needed.
constexpr std::size_t kRecentAttempts = 48;
constexpr Seconds kRecentTime{10};
constexpr std::size_t kMinOthers = 8;

// Four times the 5% of requests that usually exceed the delay. With only
// kMinOthers attempts, a pool at its usual speed is taken for slow in about 6%
// of the cases, which costs a hedge only.
constexpr double kSlowPoolShare = 0.2;

// Relative latency from which a target is expected to be slow when a request is
// sent to it. The targets of a pool differ by a factor of two to three.
constexpr double kSlowTarget = 1.5;

// The same relative to the target of an early hedge, which should be a fast
// one. When all targets become slow, the averages of equal ones differ by a
// half for a time.
constexpr double kSlowerThanHedge = 2;

// Share of slow attempts at other targets that forbids an early hedge: twice
// the usual one. A pool that becomes slow shows it only when the delay of usual
// hedges has passed, which is later.
constexpr double kSlowPoolShareForEarly = 0.1;

// Part of the median that an early hedge is sent before the last moment, since
// the timer fires late and the request has its way to the target. Without it,
// Decide would find that the hedge is too late.
constexpr double kEarlierBy = 0.1;

// A copy adds load, so at least this share of the targets needs a free slot.
constexpr double kMinRoomShare = 0.5;

}  // namespace

// Quantiles of the latency of one route, in microseconds.
class HedgePolicy::RouteLatency {
 public:
  void Add(Microseconds latency) {
    current_(static_cast<double>(latency.count()));
    const std::size_t count = acc::count(current_);
    if (!settled_ && count >= kMinSamples) Publish();
    if (count < kEpochSamples) return;
    Publish();
    settled_ = true;
    current_ = Estimator(acc::extended_p_square_probabilities = kQuantiles);
  }

  bool known() const { return known_; }
  double Value(std::size_t quantile) const { return values_[quantile]; }

 private:
  using Estimator = acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

  void Publish() {
    known_ = true;
    for (std::size_t index = 0; index < kQuantiles.size(); ++index) {
      values_[index] =
          acc::extended_p_square(current_)[static_cast<std::ptrdiff_t>(index)];
    }
  }

  Estimator current_{acc::extended_p_square_probabilities = kQuantiles};
  std::array<double, kQuantiles.size()> values_{};
  bool known_ = false;
  bool settled_ = false;  ///< values_ are those of a whole epoch
};

// Tokens and recent attempts of one pool.
struct HedgePolicy::Pool {
  struct Recent {
    std::size_t target = 0;  ///< hash of its id
    bool slow = false;       ///< exceeded the delay of its route
    MonoTime at{};
  };

  void Add(const TargetId& target, bool slow, MonoTime now) {
    recent[next] = {
        .target = std::hash<TargetId>()(target), .slow = slow, .at = now};
    next = (next + 1) % kRecentAttempts;
    filled = std::min(filled + 1, kRecentAttempts);
  }

  double tokens = 0;
  std::array<Recent, kRecentAttempts> recent{};
  std::size_t next = 0;
  std::size_t filled = 0;
};

HedgePolicy::HedgePolicy(Options options) : options_(options) {
  assert(options_.share >= 0 && options_.burst >= 0);
  SetHosts(1);
}

HedgePolicy::~HedgePolicy() = default;

void HedgePolicy::SetHosts(std::size_t hosts) {
  assert(hosts > 0);
  // With a maximum below one token, a host could never hedge.
  max_tokens_ = std::max(1.0, options_.burst / static_cast<double>(hosts));
  for (auto& [name, pool] : pools_)
    pool.tokens = std::min(pool.tokens, max_tokens_);
}

HedgePolicy::Pool& HedgePolicy::FindPool(const PoolName& pool) {
  if (pools_.size() >= kMaxPools && !pools_.contains(pool)) pools_.clear();
  return pools_[pool];
}

void HedgePolicy::OnRequest(const PoolName& pool, RouteShare share) {
  if (!enabled(share)) return;
  double& tokens = FindPool(pool).tokens;
  tokens = std::min(tokens + ShareOf(share), max_tokens_);
}

void HedgePolicy::OnEnded(const Attempt& attempt, Microseconds latency,
                          bool judged, MonoTime now) {
  if (!enabled(attempt.share)) return;
  if (!judged) {
    const std::optional<Microseconds> delay =
        Delay(*attempt.route, attempt.share);
    FindPool(*attempt.pool)
        .Add(*attempt.target, delay && latency > *delay, now);
  }
  if (routes_.size() >= kMaxRoutes && !routes_.contains(*attempt.route))
    routes_.clear();
  routes_[*attempt.route].Add(latency);
}

void HedgePolicy::OnDelayPassed(const Attempt& attempt, MonoTime now) {
  if (enabled(attempt.share))
    FindPool(*attempt.pool).Add(*attempt.target, true, now);
}

std::optional<Microseconds> HedgePolicy::Delay(const RouteName& route,
                                               RouteShare share) const {
  if (!enabled(share)) return std::nullopt;
  const auto found = routes_.find(route);
  if (found == routes_.end() || !found->second.known()) return std::nullopt;
  const double delay = found->second.Value(
      ShareOf(share) >= kShareForUsualDelay ? kUsualDelay : kLateDelay);
  return std::max(kMinDelay, Microseconds(static_cast<std::int64_t>(delay)));
}

HedgePolicy::Verdict HedgePolicy::CheckRequest(const Candidate& candidate) {
  if (!candidate.repeatable || candidate.target_died) return Verdict::kUnsafe;
  if (candidate.targets >= candidate.max_targets) return Verdict::kAttempts;
  return Verdict::kAllowed;
}

std::optional<HedgePolicy::Delays> HedgePolicy::ChooseDelays(
    const RouteName& route, RouteShare share, const Outlook& outlook) const {
  const std::optional<Microseconds> slow = Delay(route, share);
  if (!slow) return std::nullopt;
  Delays delays{.slow = *slow, .hedge = *slow};
  if (outlook.relative_latency < kSlowTarget || outlook.time_left.count() <= 0)
    return delays;
  const double median = routes_.find(route)->second.Value(kMedian);
  const Microseconds last =
      outlook.time_left -
      Microseconds(static_cast<std::int64_t>(median * (1 + kEarlierBy)));
  if (last >= kMinDelay) delays.hedge = std::min(delays.hedge, last);
  return delays;
}

HedgePolicy::Verdict HedgePolicy::Decide(const Candidate& candidate,
                                         RetryBudget& retries, MonoTime now) {
  const Attempt& attempt = candidate.attempt;
  const auto route = routes_.find(*attempt.route);
  if (!enabled(attempt.share) || route == routes_.end() ||
      !route->second.known())
    return Verdict::kOff;
  const Verdict checked = CheckRequest(candidate);
  if (checked != Verdict::kAllowed) return checked;
  if (static_cast<double>(candidate.time_left.count()) <=
      route->second.Value(kMedian))
    return Verdict::kTooLate;
  if (candidate.targets_with_room == 0 ||
      static_cast<double>(candidate.targets_with_room) <
          kMinRoomShare * static_cast<double>(candidate.usable_targets))
    return Verdict::kNoRoom;
  if (IsPoolSlow(attempt,
                 candidate.early ? kSlowPoolShareForEarly : kSlowPoolShare,
                 now))
    return Verdict::kPoolSlow;
  if (candidate.early && candidate.relative_latency < kSlowerThanHedge)
    return Verdict::kTargetNotSlow;
  double& tokens = FindPool(*attempt.pool).tokens;
  if (tokens < 1) return Verdict::kShareUsedUp;
  if (!retries.TryAcquire(*attempt.pool)) return Verdict::kRetriesUsedUp;
  tokens -= 1;
  return Verdict::kAllowed;
}

bool HedgePolicy::IsPoolSlow(const Attempt& attempt, double max_share,
                             MonoTime now) const {
  const auto found = pools_.find(*attempt.pool);
  if (found == pools_.end()) return true;
  const Pool& pool = found->second;
  const std::size_t own = std::hash<TargetId>()(*attempt.target);
  std::size_t others = 0;
  std::size_t slow = 0;
  for (std::size_t index = 0; index < pool.filled; ++index) {
    const Pool::Recent& recent = pool.recent[index];
    if (recent.target == own || recent.at + kRecentTime < now) continue;
    ++others;
    if (recent.slow) ++slow;
  }
  // Nothing shows that another target would be faster.
  if (others < kMinOthers) return true;
  return static_cast<double>(slow) >= max_share * static_cast<double>(others);
}

}  // namespace camphor

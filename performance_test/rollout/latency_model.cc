#include "performance_test/rollout/latency_model.h"

#include <algorithm>
#include <cmath>

#include "core/rollout/latency_histogram.h"

namespace camphor {
namespace {

// Equally likely service times that stand for the lognormal distribution.
constexpr std::array kNormalQuantiles = {
    -1.86, -1.32, -1.01, -0.78, -0.58, -0.40, -0.24, -0.08,
    0.08,  0.24,  0.40,  0.58,  0.78,  1.01,  1.32,  1.86};
constexpr double kSlowdownGrain = 50;  // steps per e-fold
constexpr double kLoadGrain = 50;      // steps from idle to full

double NormalBelow(double value) {
  return std::erfc(-value / std::sqrt(2.0)) / 2;
}

}  // namespace

LatencyHistogram LatencyModel::Draw(std::size_t route, double slowdown,
                                    const Load& load, std::uint64_t requests,
                                    RandomSource& random) {
  LatencyHistogram histogram{};
  if (requests == 0) return histogram;
  const Chances& chances = ChancesOf(route, slowdown, load);
  // Bucket by bucket: how many of those left fall into this one?
  double left = 1;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets && requests > 0;
       ++bucket) {
    if (chances[bucket] <= 0) continue;
    const bool last = bucket + 1 == kLatencyBuckets || left <= chances[bucket];
    const std::uint64_t count =
        last ? requests : random.Binomial(requests, chances[bucket] / left);
    histogram[bucket] = static_cast<std::uint32_t>(count);
    requests -= count;
    left -= chances[bucket];
  }
  return histogram;
}

const LatencyModel::Chances& LatencyModel::ChancesOf(std::size_t route,
                                                     double slowdown,
                                                     const Load& load) {
  // Rounded inputs let the chances be kept.
  const int slowdown_step =
      static_cast<int>(std::lround(std::log(slowdown) * kSlowdownGrain));
  const int load_step =
      static_cast<int>(std::lround(load.utilisation * kLoadGrain));
  const int service_step =
      static_cast<int>(std::lround(std::log(load.service_ms) * 10));
  const Key key(route, slowdown_step, load_step, service_step);
  const auto found = known_.find(key);
  if (found != known_.end()) return found->second;
  const Load rounded{.utilisation = load_step / kLoadGrain,
                     .service_ms = std::exp(service_step / 10.0)};
  return known_
      .emplace(key, Compute(route, std::exp(slowdown_step / kSlowdownGrain),
                            rounded))
      .first->second;
}

LatencyModel::Chances LatencyModel::Compute(std::size_t route, double slowdown,
                                            const Load& load) const {
  const RouteLoad& spec = workload_->routes[route];
  const double median_ms = spec.latency_ms * slowdown;
  const double slots = workload_->slots;
  const double busy = std::min(load.utilisation, 0.98);
  const double wait_ms =
      std::min(load.service_ms / (slots * (1 - busy)),
               load.service_ms * (workload_->queue + 1) / slots);
  const double wait_chance = ChanceToWait(busy);

  Chances chances{};
  double before = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    double below = 1;
    if (bucket + 1 < kLatencyBuckets) {
      const double bound_ms =
          static_cast<double>(kLatencyBounds[bucket].count()) / 1000;
      const double at_once =
          NormalBelow(std::log(bound_ms / median_ms) / spec.spread);
      double waited = 0;
      for (const double quantile : kNormalQuantiles) {
        const double service_ms = median_ms * std::exp(spec.spread * quantile);
        if (service_ms >= bound_ms) continue;
        waited += 1 - std::exp(-(bound_ms - service_ms) / wait_ms);
      }
      waited /= kNormalQuantiles.size();
      below = (1 - wait_chance) * at_once + wait_chance * waited;
    }
    chances[bucket] = std::max(0.0, below - before);
    before = std::max(before, below);
  }
  return chances;
}

double LatencyModel::ChanceToWait(double utilisation) const {
  // Erlang's loss formula by recursion, then the delay formula.
  const double offered = utilisation * workload_->slots;
  double loss = 1;
  for (int slot = 1; slot <= workload_->slots; ++slot) {
    loss = offered * loss / (slot + offered * loss);
  }
  return loss / (1 - utilisation * (1 - loss));
}

}  // namespace camphor

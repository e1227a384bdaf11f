#include "performance_test/rollout/latency_model.h"

#include <algorithm>
#include <cmath>

#include "core/rollout/latency_histogram.h"

namespace camphor {
namespace {

// Midpoint quantiles of the standard normal distribution, used as equally
// likely samples of the logarithm of the service time.
constexpr std::array kNormalQuantiles = {
    -1.86, -1.32, -1.01, -0.78, -0.58, -0.40, -0.24, -0.08,
    0.08,  0.24,  0.40,  0.58,  0.78,  1.01,  1.32,  1.86};
constexpr double kSlowdownSteps = 50;     // steps per factor of e
constexpr double kUtilisationSteps = 50;  // steps from idle to fully utilised

double NormalCdf(double value) {
  return std::erfc(-value / std::sqrt(2.0)) / 2;
}

}  // namespace

LatencyHistogram LatencyModel::Draw(std::size_t route, double slowdown,
                                    const Load& load, std::uint64_t requests,
                                    RandomSource& random) {
  LatencyHistogram histogram{};
  if (requests == 0) return histogram;
  const Probabilities& probabilities = ProbabilitiesFor(route, slowdown, load);
  // Draws a multinomial sample as a sequence of binomials: each bucket takes
  // its share of the requests that are not yet assigned.
  double remaining_probability = 1;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets && requests > 0;
       ++bucket) {
    if (probabilities[bucket] <= 0) continue;
    const bool last = bucket + 1 == kLatencyBuckets ||
                      remaining_probability <= probabilities[bucket];
    const std::uint64_t count =
        last ? requests
             : random.Binomial(requests,
                               probabilities[bucket] / remaining_probability);
    histogram[bucket] = static_cast<std::uint32_t>(count);
    requests -= count;
    remaining_probability -= probabilities[bucket];
  }
  return histogram;
}

const LatencyModel::Probabilities& LatencyModel::ProbabilitiesFor(
    std::size_t route, double slowdown, const Load& load) {
  // The inputs are rounded so that the probabilities can be cached.
  const int slowdown_step =
      static_cast<int>(std::lround(std::log(slowdown) * kSlowdownSteps));
  const int load_step =
      static_cast<int>(std::lround(load.utilisation * kUtilisationSteps));
  const int service_step =
      static_cast<int>(std::lround(std::log(load.service_ms) * 10));
  const Key key(route, slowdown_step, load_step, service_step);
  const auto found = cache_.find(key);
  if (found != cache_.end()) return found->second;
  const Load rounded{.utilisation = load_step / kUtilisationSteps,
                     .service_ms = std::exp(service_step / 10.0)};
  return cache_
      .emplace(key, Compute(route, std::exp(slowdown_step / kSlowdownSteps),
                            rounded))
      .first->second;
}

LatencyModel::Probabilities LatencyModel::Compute(std::size_t route,
                                                  double slowdown,
                                                  const Load& load) const {
  const RouteWorkload& spec = workload_->routes[route];
  const double median_ms = spec.latency_ms * slowdown;
  const double slots = workload_->slots;
  const double utilisation = std::min(load.utilisation, 0.98);
  const double wait_ms =
      std::min(load.service_ms / (slots * (1 - utilisation)),
               load.service_ms * (workload_->queue + 1) / slots);
  const double queueing_probability = QueueingProbability(utilisation);

  Probabilities probabilities{};
  double previous_cumulative = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    double cumulative = 1;
    if (bucket + 1 < kLatencyBuckets) {
      const double bound_ms =
          static_cast<double>(kLatencyBounds[bucket].count()) / 1000;
      const double below_unqueued =
          NormalCdf(std::log(bound_ms / median_ms) / spec.spread);
      double below_queued = 0;
      for (const double quantile : kNormalQuantiles) {
        const double service_ms = median_ms * std::exp(spec.spread * quantile);
        if (service_ms >= bound_ms) continue;
        below_queued += 1 - std::exp(-(bound_ms - service_ms) / wait_ms);
      }
      below_queued /= kNormalQuantiles.size();
      cumulative = (1 - queueing_probability) * below_unqueued +
                   queueing_probability * below_queued;
    }
    probabilities[bucket] = std::max(0.0, cumulative - previous_cumulative);
    previous_cumulative = std::max(previous_cumulative, cumulative);
  }
  return probabilities;
}

double LatencyModel::QueueingProbability(double utilisation) const {
  // Erlang B by recursion, then Erlang C.
  const double offered = utilisation * workload_->slots;
  double loss = 1;
  for (int slot = 1; slot <= workload_->slots; ++slot) {
    loss = offered * loss / (slot + offered * loss);
  }
  return loss / (1 - utilisation * (1 - loss));
}

}  // namespace camphor

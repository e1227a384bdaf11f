#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_LATENCY_MODEL_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_LATENCY_MODEL_H_

#include <array>
#include <cstdint>
#include <map>
#include <tuple>

#include "core/rollout/evidence_report.h"
#include "performance_test/rollout/random_source.h"
#include "performance_test/rollout/workload.h"

namespace camphor {

/// Latency of requests at targets with a fixed number of concurrent slots.
///
/// Service times are lognormal. A request queues for a slot with the
/// probability of the Erlang C formula and for an exponentially distributed
/// time, so latency rises with load. Not thread-safe.
class LatencyModel {
 public:
  explicit LatencyModel(const Workload& workload) : workload_(&workload) {}

  /// Load of one target.
  struct Load {
    double utilisation = 0;  ///< fraction of the slots in use, below 1
    double service_ms = 0;   ///< mean service time of its requests
  };

  /// Draws the latency histogram of `requests` requests on a route whose
  /// service times are multiplied by `slowdown`.
  LatencyHistogram Draw(std::size_t route, double slowdown, const Load& load,
                        std::uint64_t requests, RandomSource& random);

 private:
  using Probabilities = std::array<double, kLatencyBuckets>;
  using Key = std::tuple<std::size_t, int, int, int>;

  const Probabilities& ProbabilitiesFor(std::size_t route, double slowdown,
                                        const Load& load);
  Probabilities Compute(std::size_t route, double slowdown,
                        const Load& load) const;
  double QueueingProbability(double utilisation) const;

  const Workload* workload_;
  std::map<Key, Probabilities> cache_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_LATENCY_MODEL_H_

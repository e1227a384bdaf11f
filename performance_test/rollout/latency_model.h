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

/// Latency of requests at targets that run a fixed number at a time.
///
/// Service times are lognormal. A request waits for a slot with the chance that
/// Erlang's delay formula gives, and for an exponential time, so latency rises
/// with load. Not thread safe.
class LatencyModel {
 public:
  explicit LatencyModel(const Workload& workload) : workload_(&workload) {}

  /// Load of one target. Immutable value type.
  struct Load {
    double utilisation = 0;  ///< busy part of its slots, below one
    double service_ms = 0;   ///< mean service time over its requests
  };

  /// Draws the latency buckets of `requests` on a route whose service is slowed
  /// down by a factor.
  LatencyHistogram Draw(std::size_t route, double slowdown, const Load& load,
                        std::uint64_t requests, RandomSource& random);

 private:
  using Chances = std::array<double, kLatencyBuckets>;
  using Key = std::tuple<std::size_t, int, int, int>;

  const Chances& ChancesOf(std::size_t route, double slowdown,
                           const Load& load);
  Chances Compute(std::size_t route, double slowdown, const Load& load) const;
  double ChanceToWait(double utilisation) const;

  const Workload* workload_;
  std::map<Key, Chances> known_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_LATENCY_MODEL_H_

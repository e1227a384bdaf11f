#ifndef CAMPHORHILL_CORE_ROLLOUT_ROUTE_COMPARISON_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROUTE_COMPARISON_H_

#include <array>
#include <functional>
#include <optional>
#include <vector>

#include "core/rollout/cusum_statistic.h"
#include "core/rollout/load_profile.h"
#include "core/rollout/route_block.h"

namespace camphor {

/// Tolerated regression of the new version. The tolerated rate is `ratio` times
/// the rate of the old version, plus `excess`.
struct Tolerance {
  double ratio = 1.25;    ///< multiple of the old version's rate
  double excess = 0.002;  ///< additional rate, as a fraction of the requests
};

/// Tolerances and discounts of a comparison.
struct ComparisonOptions {
  std::array<Tolerance, kJudgeSignals> tolerance = {
      Tolerance{.ratio = 1.25, .excess = 0.002},
      Tolerance{.ratio = 1.3, .excess = 0.02},
      Tolerance{.ratio = 1.5, .excess = 0.01}};  ///< by signal
  double cold_failure_excess =
      0.08;  ///< tolerated excess of failures during a cold start
  Milliseconds cold_start{
      90'000};  ///< time for which the latency of a new target is ignored
  double max_utilization =
      0.85;  ///< slot utilization above which requests queue whatever the
             ///< version, so that latency and refusals are ignored
  double max_block_evidence =
      4;  ///< maximum log-likelihood ratio of one target in a block
  double baseline_half_life =
      60'000;  ///< half-life of the old version's rates, in requests
  double new_half_life =
      1'000;  ///< half-life of the new version's rate, in requests
  double max_dispersion = 1.5;  ///< upper bound of the measured dispersion
  double min_success_ratio =
      0.9;  ///< minimum success rate of the new version relative to the old
            ///< one, applied even if both fail often; only with
            ///< shared_fault_probability
  double shared_fault_probability =
      0;  ///< probability that a fault of both versions begins in a block; 0
          ///< for no assumption, in which case failures are compared only with
          ///< those of the old version in the same block
};

/// Accumulated counts of one signal. A bad event is a request that failed or
/// was slow, depending on the signal.
struct SignalCounts {
  std::uint64_t new_requests = 0;    ///< requests of the new version
  std::uint64_t new_bad_events = 0;  ///< bad events of the new version
  std::uint64_t old_requests = 0;    ///< requests of the old version
  std::uint64_t old_bad_events = 0;  ///< bad events of the old version
};

/// Context of a block that applies to all its routes.
struct BlockContext {
  std::function<bool(const TargetId&, bool is_new)>
      is_cold{};        ///< returns true if a target is in its cold start
  double old_load = 0;  ///< requests per second of one target of the old
                        ///< version; 0 if unknown
  double new_load = 0;  ///< the same for the new version
  double new_utilization =
      0;  ///< slot utilization of the new version's targets, estimated with the
          ///< old version's service time
};

/// Compares both versions on one route, block by block.
///
/// Maintains the baseline rates of the old version, from which the tolerated
/// rates and the bounds of slow requests are derived. Also estimates the
/// dispersion: how much more the old version's targets differ from each other
/// than by chance. All evidence is divided by it. Not thread-safe.
class RouteComparison {
 public:
  /// Receives the evidence of one target of the new version on one signal.
  using Sink = std::function<void(JudgeSignal, const TargetId&,
                                  const LogLikelihoodRatios&)>;

  /// @pre `options` outlives this object.
  explicit RouteComparison(const ComparisonOptions& options);

  /// Compares the versions in a block, updates `counts` and passes the evidence
  /// of each target of the new version to `sink`.
  void Compare(const RouteBlock& block, const BlockContext& context,
               std::array<SignalCounts, kJudgeSignals>& counts,
               const Sink& sink);

 private:
  /// Counts of one target on one signal.
  struct Sample {
    const TargetId* target;  ///< target that ran the requests
    double requests;         ///< number of requests
    double bad_events;       ///< requests that failed or were slow
    bool cold;               ///< the target is in its cold start
  };
  /// Running estimates of one signal, of the old version unless noted.
  struct Baseline {
    double requests = 0;           ///< decayed count
    double bad_events = 0;         ///< decayed count
    double deviation = 0;          ///< decayed sum of squared deviations
    double expected = 0;           ///< decayed sum of expected variances
    double recent_requests = 0;    ///< like `requests`, with a faster decay
    double recent_bad_events = 0;  ///< like `bad_events`, with a faster decay
    double new_requests = 0;       ///< decayed count of the new version
    double new_bad_events = 0;     ///< decayed count of the new version
  };

  void UpdateHistogram(const VersionCells& old_version);
  std::optional<std::size_t> SlowBucket(double share) const;
  void CompareSignal(JudgeSignal signal, const std::vector<Sample>& old_samples,
                     const std::vector<Sample>& new_samples,
                     const BlockContext& context, SignalCounts& counts,
                     const Sink& sink);
  double BaselineRate(const Baseline& baseline) const;
  double MaxToleratedRate(double baseline_rate) const;
  static void Update(Baseline& baseline, const std::vector<Sample>& samples,
                     double half_life);
  double Dispersion(const Baseline& baseline) const;

  const ComparisonOptions* options_;
  std::array<Baseline, kJudgeSignals> baselines_{};
  std::array<LoadProfile, kJudgeSignals> profiles_{};
  std::array<double, kLatencyBuckets> histogram_{};
  std::array<std::optional<std::size_t>, kJudgeSignals> slow_bucket_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROUTE_COMPARISON_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_ROUTE_COMPARISON_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROUTE_COMPARISON_H_

#include <array>
#include <functional>
#include <optional>
#include <vector>

#include "core/rollout/evidence_stream.h"
#include "core/rollout/load_profile.h"
#include "core/rollout/route_block.h"

namespace camphor {

/// How much worse the new version may be before it counts as worse.
struct Tolerance {
  double ratio = 1.25;    ///< its rate may be this multiple of the old one's
  double excess = 0.002;  ///< and this much more
};

/// Tolerances and discounts of a comparison.
struct ComparisonOptions {
  std::array<Tolerance, kJudgeSignals> tolerance = {
      Tolerance{.ratio = 1.25, .excess = 0.002},
      Tolerance{.ratio = 1.3, .excess = 0.02},
      Tolerance{.ratio = 1.5, .excess = 0.01}};  ///< by signal
  double cold_failure_excess =
      0.08;  ///< more failures than that are no cold start
  Milliseconds cold_start{
      90'000};  ///< a new target's latency does not count for so long
  double most_busy =
      0.85;  ///< busy part of the slots above which requests queue whatever
             ///< the version: latency and refusals do not count
  double max_block_evidence =
      4;  ///< most that one target may add to the evidence in a block
  double baseline_half_life =
      60'000;  ///< requests after which the old version's rates weigh half
  double new_half_life =
      1'000;  ///< requests after which the new version's rate weighs half
  double max_dispersion = 1.5;  ///< bound on the measured dispersion
  double least_success =
      0.9;  ///< the new version must answer this part of what the old one does,
            ///< also while both fail often; used with shared_fault
  double shared_fault =
      0;  ///< chance that a fault of both versions begins in a block; 0: any
          ///< rate is as likely, and failures count beside the old version's in
          ///< the same block alone
};

/// What was counted on one signal so far.
struct SignalCounts {
  std::uint64_t new_requests = 0;    ///< requests of the new version
  std::uint64_t new_bad_events = 0;  ///< of these: failed, or slow
  std::uint64_t old_requests = 0;    ///< requests of the old version
  std::uint64_t old_bad_events = 0;  ///< of these: failed, or slow
};

/// What holds for all routes of a block.
struct BlockContext {
  std::function<bool(const TargetId&, bool is_new)>
      is_cold{};        ///< says whether a target is in its cold start
  double old_load = 0;  ///< requests a second of one target; 0 if not known
  double new_load = 0;  ///< the same of the new version
  double new_busy = 0;  ///< busy part of the new targets' slots, if they ran
                        ///< their requests as fast as the old version does
};

/// Compares both versions on one route, block by block.
///
/// Keeps the old version's usual rates, from which the tolerated ratio and the
/// bounds that count as slow follow, and how much more its targets differ from
/// each other than chance would have it (dispersion), by which all evidence is
/// divided. Not thread safe.
class RouteComparison {
 public:
  /// Takes the evidence of one new target on one signal.
  using Sink =
      std::function<void(JudgeSignal, const TargetId&, const LogRatios&)>;
  explicit RouteComparison(const ComparisonOptions& options);

  /// Compares a block, adds to the counts and hands the evidence of each new
  /// target to the sink.
  void Compare(const RouteBlock& block, const BlockContext& context,
               std::array<SignalCounts, kJudgeSignals>& counts,
               const Sink& sink);

 private:
  /// One version's counts on one signal and target.
  struct Sample {
    const TargetId* target;  ///< who
    double requests;         ///< how many
    double hits;             ///< of these: failed, or slow
    bool cold;               ///< in its cold start
  };
  /// What is known on one signal: of the old version, if not said otherwise.
  struct Baseline {
    double requests = 0;         ///< decayed count
    double hits = 0;             ///< decayed count
    double deviation = 0;        ///< decayed sum of squared deviations
    double expected = 0;         ///< decayed sum of expected variances
    double recent_requests = 0;  ///< as requests, sooner forgotten
    double recent_hits = 0;      ///< as hits, sooner forgotten
    double new_requests = 0;     ///< decayed count of the new version
    double new_bad_events = 0;   ///< decayed count of the new version
  };

  void LearnHistogram(const VersionCells& old_version);
  std::optional<std::size_t> SlowBucket(double share) const;
  void CompareSignal(JudgeSignal signal, const std::vector<Sample>& old_samples,
                     const std::vector<Sample>& new_samples,
                     const BlockContext& context, SignalCounts& counts,
                     const Sink& sink);
  double UsualRate(const Baseline& baseline) const;
  double HighestTolerated(double usual_rate) const;
  static void Learn(Baseline& baseline, const std::vector<Sample>& samples,
                    double half_life);
  double DispersionOf(const Baseline& baseline) const;

  const ComparisonOptions* options_;
  std::array<Baseline, kJudgeSignals> baselines_{};
  std::array<LoadProfile, kJudgeSignals> profiles_{};
  std::array<double, kLatencyBuckets> histogram_{};
  std::array<std::optional<std::size_t>, kJudgeSignals> slow_bucket_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROUTE_COMPARISON_H_

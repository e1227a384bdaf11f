#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WINDOW_JUDGE_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WINDOW_JUDGE_H_

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "core/rollout/route_block.h"
#include "core/rollout/route_comparison.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// Baseline for measurements: applies a given test to the counts of a sliding
/// window. Not thread-safe.
class WindowJudge : public VersionJudge {
 public:
  struct Options {
    Milliseconds window{60'000};  ///< length of the sliding window
    std::function<double(const SignalCounts&, JudgeSignal)>
        test{};  ///< evidence against the new version; 1 rolls back
  };

  explicit WindowJudge(Options options) : options_(std::move(options)) {}

  void AddBlock(const EvidenceBlock& block) override;
  void ForgetTarget(const TargetId& /*target*/) override {}
  std::vector<EvidenceView> View() const override { return views_; }
  double evidence() const override { return evidence_; }

 private:
  /// Counts of one version on one route.
  struct Totals {
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    LatencyHistogram latency{};
  };
  struct Entry {
    MonoTime end{};
    std::map<RouteName, std::array<Totals, 2>> routes{};
  };

  void Evaluate();
  static SignalCounts SignalCountsFor(const std::array<Totals, 2>& totals,
                                      JudgeSignal signal);

  Options options_;
  std::deque<Entry> entries_;
  std::vector<EvidenceView> views_;
  double evidence_ = 0;
};

/// Fixed thresholds, as an operator would set them: returns 1 if the new
/// version's rate of failures (or of slow requests) is more than twice the old
/// version's and at least 1% (or 2%) of requests above it, over at least 50
/// requests of each version; otherwise 0. Thread-safe.
double FixedThresholdEvidence(const SignalCounts& counts, JudgeSignal signal);

/// One-sided two-proportion z-test: returns the z-score divided by `score`, at
/// least 0. Thread-safe.
double TwoProportionEvidence(const SignalCounts& counts, double score);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WINDOW_JUDGE_H_

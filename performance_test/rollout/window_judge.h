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

/// A baseline: judges the last window alone, by a test that is handed in.
class WindowJudge : public VersionJudge {
 public:
  struct Options {
    Milliseconds window{60'000};  ///< how far back it looks
    std::function<double(const SignalCounts&, JudgeSignal)>
        test{};  ///< evidence against the new version; 1 rolls back
  };

  explicit WindowJudge(Options options) : options_(std::move(options)) {}

  void AddBlock(const EvidenceBlock& block) override;
  void ForgetTarget(const TargetId& /*target*/) override {}
  std::vector<EvidenceView> View() const override { return views_; }
  double evidence() const override { return evidence_; }

 private:
  /// Both versions on one route in one block.
  struct Totals {
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    LatencyHistogram latency{};
  };
  struct Entry {
    MonoTime end{};
    std::map<RouteName, std::array<Totals, 2>> routes{};
  };

  void Judge();
  static SignalCounts CountsOf(const std::array<Totals, 2>& totals,
                               JudgeSignal signal);

  Options options_;
  std::deque<Entry> entries_;
  std::vector<EvidenceView> views_;
  double evidence_ = 0;
};

/// Fixed thresholds, as an operator would set them: a new version that fails
/// on 1% more than the old one and on twice as many, or that is slow twice as
/// often, over at least 50 requests. Thread safety: any thread.
double FixedThresholdEvidence(const SignalCounts& counts, JudgeSignal signal);

/// A one-sided test of two proportions at the given score. Thread safety: any
/// thread.
double TwoProportionEvidence(const SignalCounts& counts, double score);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WINDOW_JUDGE_H_

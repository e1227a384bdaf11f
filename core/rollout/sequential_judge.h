#ifndef CAMPHORHILL_CORE_ROLLOUT_SEQUENTIAL_JUDGE_H_
#define CAMPHORHILL_CORE_ROLLOUT_SEQUENTIAL_JUDGE_H_

#include <array>
#include <map>
#include <memory>
#include <vector>

#include "core/rollout/cusum_statistic.h"
#include "core/rollout/route_comparison.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// Compares the versions with a sequential test, which may be evaluated after
/// every block.
///
/// For each route and signal, and for all routes pooled, it accumulates the
/// log-likelihood ratio of "the new version is worse by a given factor" over
/// "it is as good as the old version, within the tolerance" (CusumStatistic).
/// Both versions are compared within the same block, so that faults affecting
/// both cancel out. See docs/architecture/rollout.md. Not thread-safe.
class SequentialJudge : public VersionJudge {
 public:
  struct Options {
    double false_alarm_probability =
        1e-3;  ///< upper bound of the false-alarm probability of one block
    bool leave_one_out =
        true;  ///< exclude the targets with the largest evidence
    double max_target_evidence =
        0.6;  ///< maximum contribution of one target, as a fraction of the
              ///< rollback threshold
    double outlier_fraction = 0.2;  ///< fraction of the targets, those with the
                                    ///< largest evidence, that is excluded
    std::size_t min_outliers = 1;   ///< minimum number of excluded targets
    ComparisonOptions comparison{};  ///< tolerances and discounts
  };

  explicit SequentialJudge(Options options);

  void AddBlock(const EvidenceBlock& block) override;
  void ForgetTarget(const TargetId& target) override;
  std::vector<EvidenceView> View() const override;
  double evidence() const override { return evidence_; }

 private:
  /// Evidence of one route, or of all routes pooled.
  struct Track {
    std::array<CusumStatistic, kJudgeSignals> statistics{};
    std::array<SignalCounts, kJudgeSignals> counts{};
  };

  /// Mean latency of the old version's recent requests on a route.
  class ServiceTime {
   public:
    /// Adds a block and returns the updated mean in seconds.
    double Update(const VersionCells& old_version);

   private:
    double requests_ = 0;
    double seconds_ = 0;
  };

  void AddRoute(const RouteBlock& route, const BlockContext& context);
  BlockContext MakeContext(const EvidenceBlock& block,
                           const std::vector<RouteBlock>& routes);
  AggregationRule MakeRule() const;
  void EndBlock();
  bool IsCold(const TargetId& target, bool is_new, MonoTime now);
  double Threshold() const;
  EvidenceView MakeView(const RouteName& route, const Track& track,
                        std::size_t signal) const;

  Options options_;
  std::map<RouteName, RouteComparison> comparisons_;
  std::map<RouteName, Track> tracks_;
  std::map<RouteName, ServiceTime> service_times_;
  Track pooled_;
  std::map<TargetId, MonoTime> first_seen_;
  std::optional<MonoTime> started_;
  std::optional<MonoTime> last_end_;
  bool include_all_targets_ = false;
  std::size_t new_target_count_ = 0;
  double evidence_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_SEQUENTIAL_JUDGE_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_CUSUM_STATISTIC_H_
#define CAMPHORHILL_CORE_ROLLOUT_CUSUM_STATISTIC_H_

#include <array>
#include <cstddef>
#include <map>

#include "core/base/identifier.h"

namespace camphor {

/// Effect sizes that are tested simultaneously, as multiples of the tolerated
/// rate.
inline constexpr std::array<double, 5> kEffectSizes = {1.35, 2, 4, 12, 40};

/// Log-likelihood ratios, one for each effect size.
using LogLikelihoodRatios = std::array<double, kEffectSizes.size()>;

/// How the sums of the single targets are combined into one value.
struct AggregationRule {
  bool include_all_targets = false;  ///< sum all targets without exclusion or
                                     ///< limit, e.g. for a single target
  std::size_t version_target_count = 0;  ///< targets of the version, including
                                         ///< those without evidence so far
  double max_target_evidence =
      0;  ///< maximum contribution of one target, applied to versions with
          ///< three or more targets; 0 for no limit
  double outlier_fraction = 0.2;  ///< fraction of the targets, those with the
                                  ///< largest sums, that is excluded
  std::size_t min_outliers = 1;   ///< minimum number of excluded targets
};

/// CUSUM statistic of the log-likelihood ratios against the new version, for
/// one route and signal, kept separately for each target.
///
/// Each sum is reset to zero when it becomes negative, so that a long healthy
/// period does not mask a later fault. The targets with the largest sums are
/// excluded and the contribution of each target is limited, so that one bad
/// host among good ones does not cause a rollback. Not thread-safe.
class CusumStatistic {
 public:
  /// Adds the ratios of one target in the current block.
  void Add(const TargetId& target, const LogLikelihoodRatios& ratios);

  /// Ends a block: resets the sums that are not positive.
  void EndBlock();

  /// Removes all evidence that the target has contributed.
  void RemoveTarget(const TargetId& target);

  /// Returns the maximum over the effect sizes of the sum under `rule`.
  double Value(const AggregationRule& rule) const;

 private:
  std::map<TargetId, LogLikelihoodRatios> by_target_;
  LogLikelihoodRatios total_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_CUSUM_STATISTIC_H_

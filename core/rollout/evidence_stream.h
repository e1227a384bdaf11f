#ifndef CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_STREAM_H_
#define CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_STREAM_H_

#include <array>
#include <cstddef>
#include <map>

#include "core/base/identifier.h"

namespace camphor {

/// Sizes of effect that are tried at the same time, as multiples of what is
/// still tolerated.
inline constexpr std::array<double, 5> kEffectSizes = {1.35, 2, 4, 12, 40};

/// Log likelihood ratios, one for each effect size.
using LogRatios = std::array<double, kEffectSizes.size()>;

/// Which part of the evidence counts.
struct StrengthRule {
  bool lone = false;  ///< the version has but one target: all of it counts
  std::size_t version_targets = 0;  ///< targets of the version, also those
                                    ///< that added nothing yet
  double target_limit =
      0;  ///< most that one target may add, if there are three or more
  double outlier_share = 0.2;  ///< targets that add the most and do not count
  std::size_t least_outliers = 1;  ///< at least so many of them
};

/// Sums evidence against the new version on one route and signal, kept apart
/// by target.
///
/// Each sum restarts at zero when it would fall below (CUSUM), so that a long
/// healthy time does not hide a fault that comes later. The targets that add
/// the most do not count, and no target adds more than a limit: one bad host
/// among good ones does not condemn the version. Not thread safe.
class EvidenceStream {
 public:
  /// Adds what one target showed in a block.
  void Add(const TargetId& target, const LogRatios& ratios);

  /// Ends a block: restarts the sums that fell below zero.
  void EndBlock();

  /// Takes back what the target ever added.
  void Forget(const TargetId& target);

  /// The largest sum over the effect sizes that is left by the rule.
  double Strength(const StrengthRule& rule) const;

 private:
  std::map<TargetId, LogRatios> by_target_;
  LogRatios total_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_STREAM_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_HIT_EVIDENCE_H_
#define CAMPHORHILL_CORE_ROLLOUT_HIT_EVIDENCE_H_

#include "core/rollout/evidence_stream.h"

namespace camphor {

/// Counts of one target of the new version in a block, beside the old version's
/// in the same block. A hit is a request that failed, or one that was slow.
/// Immutable value type.
struct HitCounts {
  double target_requests = 0;  ///< of the target
  double target_hits = 0;      ///< of these: hits
  double new_requests = 0;     ///< of all targets of the new version
  double old_requests = 0;     ///< of the old version
  double old_bad_events = 0;   ///< of these: hits
};

/// Log likelihood ratios of "the new version hits `effect` times as often as is
/// tolerated" over "it hits as often as is tolerated", where `tolerated` is a
/// multiple of the old version's rate.
///
/// Given the hits on both sides, the old version's rate cancels, whatever it is
/// in this block. @pre new_requests and old_requests are above 0. Thread
/// safety: any thread.
LogRatios RareHitEvidence(const HitCounts& counts, double tolerated);

/// What is known before a block of the rates at which requests are hit.
/// Immutable value type.
struct HitRates {
  double usual_rate = 0;      ///< of the old version, recently
  double tolerated_rate = 0;  ///< of the new version at most
  double shared_fault = 0;    ///< chance that a fault of both began since
};

/// Log likelihood ratios of "the new version hits at a multiple of the
/// tolerated rate, the old one as usual" over "the new one hits as is
/// tolerated, or a fault of both began".
///
/// Tells within a block or two, also where hardly any request is left to the
/// old version, as long as faults of both are as rare as said. @pre the counts
/// are above 0, and so are the rates, which are below 1. Thread safety: any
/// thread.
LogRatios AbruptHitEvidence(const HitCounts& counts, const HitRates& rates);

/// The same where hits are frequent: requests without a hit count as well, for
/// which the old version's usual rate is needed. @pre as above, and
/// 0 < usual_rate < 1. Thread safety: any thread.
LogRatios FrequentHitEvidence(const HitCounts& counts, double tolerated,
                              double usual_rate);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_HIT_EVIDENCE_H_

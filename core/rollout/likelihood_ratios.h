#ifndef CAMPHORHILL_CORE_ROLLOUT_LIKELIHOOD_RATIOS_H_
#define CAMPHORHILL_CORE_ROLLOUT_LIKELIHOOD_RATIOS_H_

#include "core/rollout/cusum_statistic.h"

namespace camphor {

/// Event counts of one target of the new version in a block, together with the
/// counts of both versions in the same block. A bad event is a request that
/// failed or was slow, depending on the signal. Immutable value type.
struct EventCounts {
  double target_requests = 0;    ///< requests of the target
  double target_bad_events = 0;  ///< bad events of the target
  double new_requests = 0;       ///< requests of all targets of the new version
  double old_requests = 0;       ///< requests of the old version
  double old_bad_events = 0;     ///< bad events of the old version
};

/// Computes the log-likelihood ratios of "the rate of the new version is
/// `effect` times the tolerated rate" over "it equals the tolerated rate". The
/// tolerated rate is `tolerated` times the rate of the old version. Suitable
/// for rare bad events.
///
/// The ratios are conditional on the bad events of both versions, so the rate
/// of the old version in this block cancels out. @pre new_requests and
/// old_requests are above 0. Thread-safe.
LogLikelihoodRatios RareEventRatios(const EventCounts& counts,
                                    double tolerated);

/// Rates of bad events that are known before a block, as fractions of the
/// requests. Immutable value type.
struct BaselineRates {
  double baseline_rate = 0;   ///< recent rate of the old version
  double tolerated_rate = 0;  ///< maximum acceptable rate of the new version
  double shared_fault_probability =
      0;  ///< probability that a fault of both versions began in this block
};

/// Computes the log-likelihood ratios of "the rate of the new version is a
/// multiple of the tolerated rate and the old version is at its baseline rate"
/// over "the rate of the new version is tolerated, or a fault of both versions
/// began".
///
/// Detects a change within one or two blocks, even if the old version gets
/// hardly any requests, provided that shared faults are as rare as
/// `shared_fault_probability` states. @pre the request counts are above 0; the
/// rates are above 0 and below 1. Thread-safe.
LogLikelihoodRatios AbruptChangeRatios(const EventCounts& counts,
                                       const BaselineRates& rates);

/// Variant of RareEventRatios() for frequent bad events. Good events count as
/// well, which requires the baseline rate of the old version. @pre new_requests
/// and old_requests are above 0, and 0 < baseline_rate < 1. Thread-safe.
LogLikelihoodRatios FrequentEventRatios(const EventCounts& counts,
                                        double tolerated, double baseline_rate);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_LIKELIHOOD_RATIOS_H_

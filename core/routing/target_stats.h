#ifndef CAMPHORHILL_CORE_ROUTING_TARGET_STATS_H_
#define CAMPHORHILL_CORE_ROUTING_TARGET_STATS_H_

#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// Statistics of one target as observed by this proxy. They take precedence
/// over what the target or its host reports. Not thread-safe.
struct TargetStats {
  std::uint32_t in_flight = 0;  ///< requests in flight from this proxy
  double slowness = 0;  ///< latency of successes relative to the typical
                        ///< latency of their routes, moving average; 0: no
                        ///< sample yet
  std::uint32_t slowness_samples = 0;  ///< that `slowness` is the average of
  double failure_rate = 0;  ///< moving average of 0 (success) and 1 (failure)
  std::uint32_t consecutive_failures = 0;  ///< failures since the last success
  std::uint32_t consecutive_refusals = 0;  ///< refusals since the last success
  std::uint32_t ejections = 0;  ///< ejections since the last recovery
  bool leaving = false;         ///< the target said that it is leaving
  MonoTime first_seen{};        ///< start of the slow start
  MonoTime full_until{};  ///< after a refusal: treated as full until this time
  MonoTime ejected_until{};  ///< ejected as an outlier until this time

  // From the reports of the target's host; see FinishModel.
  double relative_service = 0;     ///< service time relative to that of the
                                   ///< pool, moving average; 0: no report yet
  MonoTime speed_reported_at{};    ///< last update of relative_service
  double reported_load = 0;        ///< slots in use plus queue, as reported
  double mean_load = 0;            ///< moving average of reported_load
  double reported_service_us = 0;  ///< mean of all requests of the target; 0:
                                   ///< no report yet
  MonoTime load_reported_at{};     ///< last update of reported_load
  std::uint32_t sent_since_report =
      0;  ///< requests sent from this proxy since that update
  double cold_per_second = 0;  ///< share of this proxy in the rate that the
                               ///< target tolerates while cold; 0: no limit
  double cold_tokens = 0;      ///< requests that the share admits now
  MonoTime cold_refilled{};    ///< time of the last change of cold_tokens
  bool returned = false;  ///< its domain was evacuated before; requests return
                          ///< to it gradually
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_TARGET_STATS_H_

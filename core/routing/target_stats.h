#ifndef CAMPHORHILL_CORE_ROUTING_TARGET_STATS_H_
#define CAMPHORHILL_CORE_ROUTING_TARGET_STATS_H_

#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// What this proxy itself saw of one target: its own evidence, which outranks
/// what the target or its host report. Not thread safe.
struct TargetStats {
  std::uint32_t in_flight = 0;  ///< requests of this proxy under way
  double slowness = 0;  ///< time of successes as a multiple of what is usual on
                        ///< their routes, moving average; 0: none
  double failure_rate = 0;            ///< moving average of 0 and 1
  std::uint32_t failures_in_row = 0;  ///< failures since the last success
  std::uint32_t refusals_in_row = 0;  ///< refusals since the last answer
  std::uint32_t ejections = 0;        ///< times ejected without recovering
  MonoTime first_seen{};              ///< when the slow start began
  MonoTime full_until{};     ///< refused work lately: no room until then
  MonoTime ejected_until{};  ///< an outlier until then
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_TARGET_STATS_H_

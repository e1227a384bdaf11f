#ifndef CAMPHORHILL_NODE_METRICS_TICK_TIMES_H_
#define CAMPHORHILL_NODE_METRICS_TICK_TIMES_H_

#include <compare>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// Statistics of the tick durations of a thread. Immutable value type.
struct TickTimes {
  std::uint64_t count = 0;  ///< number of ticks
  double mean_us = 0;       ///< mean, in microseconds
  double p99_us = 0;        ///< estimated 99th percentile, in microseconds
  double max_us = 0;        ///< maximum, in microseconds

  auto operator<=>(const TickTimes&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_TICK_TIMES_H_

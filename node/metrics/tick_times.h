#ifndef CAMPHORHILL_NODE_METRICS_TICK_TIMES_H_
#define CAMPHORHILL_NODE_METRICS_TICK_TIMES_H_

#include <compare>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// How long the ticks of a thread took. Immutable value type.
struct TickTimes {
  std::uint64_t count = 0;  ///< ticks so far
  double mean_us = 0;       ///< mean, in microseconds
  double p99_us = 0;        ///< estimate of the longest but one in a hundred
  double max_us = 0;        ///< longest, in microseconds

  auto operator<=>(const TickTimes&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_TICK_TIMES_H_

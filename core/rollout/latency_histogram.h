#ifndef CAMPHORHILL_CORE_ROLLOUT_LATENCY_HISTOGRAM_H_
#define CAMPHORHILL_CORE_ROLLOUT_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>

#include "core/base/time.h"
#include "core/rollout/evidence_report.h"

namespace camphor {

/// Upper bounds of the buckets but the last: 64 microseconds times the square
/// root of two to the power of the index, so that a slowdown of a third moves
/// requests over some bound.
extern const std::array<Microseconds, kLatencyBuckets - 1> kLatencyBounds;

/// Bucket that counts the given latency. Thread safety: any thread.
std::size_t LatencyBucketOf(Microseconds latency);

/// Mean latency of the histogram in seconds, about; 0 when it is empty. Thread
/// safety: any thread.
double MeanLatencySeconds(const LatencyHistogram& histogram);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_LATENCY_HISTOGRAM_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_LATENCY_HISTOGRAM_H_
#define CAMPHORHILL_CORE_ROLLOUT_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>

#include "core/base/time.h"
#include "core/rollout/evidence_report.h"

namespace camphor {

/// Upper bounds of all buckets except the last: 64 microseconds times sqrt(2)
/// to the power of the index. The buckets are narrow enough that a slowdown by
/// a third moves requests into a higher bucket.
extern const std::array<Microseconds, kLatencyBuckets - 1> kLatencyBounds;

/// Returns the index of the bucket that counts `latency`. Thread-safe.
std::size_t LatencyBucketIndex(Microseconds latency);

/// Returns the approximate mean latency in seconds, or 0 if the histogram is
/// empty. Thread-safe.
double MeanLatencySeconds(const LatencyHistogram& histogram);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_LATENCY_HISTOGRAM_H_

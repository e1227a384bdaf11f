#include "core/rollout/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace camphor {
namespace {

constexpr double kFirstBoundMicroseconds = 64;

std::array<Microseconds, kLatencyBuckets - 1> MakeBounds() {
  std::array<Microseconds, kLatencyBuckets - 1> bounds{};
  for (std::size_t index = 0; index < bounds.size(); ++index) {
    const double bound =
        kFirstBoundMicroseconds * std::exp2(static_cast<double>(index) / 2);
    bounds[index] = Microseconds(std::llround(bound));
  }
  return bounds;
}

}  // namespace

const std::array<Microseconds, kLatencyBuckets - 1> kLatencyBounds =
    MakeBounds();

std::size_t LatencyBucketIndex(Microseconds latency) {
  const auto bound = std::ranges::upper_bound(kLatencyBounds, latency);
  return static_cast<std::size_t>(bound - kLatencyBounds.begin());
}

double MeanLatencySeconds(const LatencyHistogram& histogram) {
  double requests = 0;
  double seconds = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    // Geometric midpoint of the bucket.
    const double middle = kFirstBoundMicroseconds * 1e-6 *
                          std::exp2(static_cast<double>(bucket) / 2 - 0.25);
    requests += histogram[bucket];
    seconds += histogram[bucket] * middle;
  }
  return requests > 0 ? seconds / requests : 0;
}

}  // namespace camphor

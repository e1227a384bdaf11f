#include "core/routing/outlier_detector.h"

#include <algorithm>

namespace camphor {
namespace {

constexpr std::uint32_t kMostDoublings = 6;

}  // namespace

bool OutlierDetector::OnFailure(TargetStats& stats, const PoolCount& pool,
                                MonoTime now) const {
  if (stats.failures_in_row < options_.failures_in_row) return false;
  if (stats.ejected_until > now) return false;
  if ((pool.ejected + 1) * 100 > pool.targets * pool.most_percent) return false;

  // A target that fails again right after its return stays away longer.
  const std::uint32_t doublings = std::min(stats.ejections, kMostDoublings);
  const Milliseconds time =
      std::min(options_.base_time * (1U << doublings), options_.longest_time);
  stats.ejected_until = now + time;
  ++stats.ejections;
  stats.failures_in_row = 0;
  return true;
}

}  // namespace camphor

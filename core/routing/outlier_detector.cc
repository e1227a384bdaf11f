#include "core/routing/outlier_detector.h"

#include <algorithm>

namespace camphor {
namespace {

constexpr std::uint32_t kMaxDoublings = 6;

}  // namespace

bool OutlierDetector::OnFailure(TargetStats& stats, const PoolCount& pool,
                                MonoTime now) const {
  if (stats.consecutive_failures < options_.consecutive_failures) return false;
  if (stats.ejected_until > now) return false;
  if ((pool.ejected + 1) * 100 > pool.targets * pool.max_percent) return false;

  // A target that fails again soon after its return is ejected for longer.
  const std::uint32_t doublings = std::min(stats.ejections, kMaxDoublings);
  const Milliseconds time =
      std::min(options_.base_ejection_time * (1U << doublings),
               options_.max_ejection_time);
  stats.ejected_until = now + time;
  ++stats.ejections;
  stats.consecutive_failures = 0;
  return true;
}

}  // namespace camphor

#ifndef CAMPHORHILL_CORE_ROUTING_OUTLIER_DETECTOR_H_
#define CAMPHORHILL_CORE_ROUTING_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <cstdint>

#include "core/base/time.h"
#include "core/routing/target_stats.h"

namespace camphor {

/// Decides when one target's failures eject it for a while.
///
/// The part of a pool that may be ejected at a time is bounded by the pool's
/// row; the caller counts those ejected now. Not thread safe; stateless but for
/// options.
class OutlierDetector {
 public:
  struct Options {
    std::uint32_t failures_in_row = 5;  ///< ejects a target
    Milliseconds base_time{2000};       ///< first ejection; doubles each time
    Milliseconds longest_time{60'000};  ///< longest ejection
  };

  /// How much of a pool is ejected, and may be. Immutable value type.
  struct PoolCount {
    std::size_t targets = 0;         ///< targets of the pool
    std::size_t ejected = 0;         ///< of these: ejected now
    std::uint32_t most_percent = 0;  ///< may be ejected at most
  };

  explicit OutlierDetector(Options options) : options_(options) {}

  /// Looks at a target after a failure was counted in its stats and ejects it
  /// if it must go. Returns true if it was ejected now.
  bool OnFailure(TargetStats& stats, const PoolCount& pool, MonoTime now) const;

 private:
  Options options_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_OUTLIER_DETECTOR_H_

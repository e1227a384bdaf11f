#ifndef CAMPHORHILL_CORE_ROUTING_OUTLIER_DETECTOR_H_
#define CAMPHORHILL_CORE_ROUTING_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <cstdint>

#include "core/base/time.h"
#include "core/routing/target_stats.h"

namespace camphor {

/// Ejects a target temporarily after consecutive failures.
///
/// The share of a pool that may be ejected at the same time is bounded; the
/// user of the class passes in the current counts. Stateless apart from its
/// options. Not thread-safe.
class OutlierDetector {
 public:
  struct Options {
    std::uint32_t consecutive_failures = 5;  ///< failures that eject a target
    Milliseconds base_ejection_time{2000};   ///< first; doubles each time
    Milliseconds max_ejection_time{60'000};  ///< upper bound
  };

  /// Ejection counts and limit of a pool. Immutable value type.
  struct PoolCount {
    std::size_t targets = 0;        ///< targets of the pool
    std::size_t ejected = 0;        ///< targets that are currently ejected
    std::uint32_t max_percent = 0;  ///< maximum share of ejected targets
  };

  explicit OutlierDetector(Options options) : options_(options) {}

  /// Ejects the target if it has reached the failure threshold and the limit of
  /// the pool permits. Returns true if it was ejected by this call.
  /// @pre The failure has already been counted in `stats`.
  bool OnFailure(TargetStats& stats, const PoolCount& pool, MonoTime now) const;

 private:
  Options options_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_OUTLIER_DETECTOR_H_

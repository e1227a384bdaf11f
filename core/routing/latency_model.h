#ifndef CAMPHORHILL_CORE_ROUTING_LATENCY_MODEL_H_
#define CAMPHORHILL_CORE_ROUTING_LATENCY_MODEL_H_

#include <unordered_map>

#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/routing/target_stats.h"

namespace camphor {

/// Predicts request latency as the typical latency of the route multiplied by
/// the relative slowness of the target.
///
/// The latency of requests differs more between the routes of a pool than
/// between its targets, so that a single average per target would mix the
/// routes. The state grows with the number of routes plus the number of
/// targets, not with their product. Not thread-safe.
class LatencyModel {
 public:
  /// Records the latency of a successful request.
  void Record(const RouteName& route, TargetStats& target,
              Microseconds latency);

  /// Returns the typical latency of a route in microseconds; 0 if there is no
  /// sample.
  double TypicalUs(const RouteName& route) const;

  /// Returns the expected latency at a target in microseconds, where
  /// `typical_us` is TypicalUs of the route; 0 if either is unknown.
  static double ExpectedUs(double typical_us, const TargetStats& target);

 private:
  std::unordered_map<RouteName, double> typical_us_;  ///< by route
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_LATENCY_MODEL_H_

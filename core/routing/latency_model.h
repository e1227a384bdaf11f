#ifndef CAMPHORHILL_CORE_ROUTING_LATENCY_MODEL_H_
#define CAMPHORHILL_CORE_ROUTING_LATENCY_MODEL_H_

#include <unordered_map>

#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/routing/target_stats.h"

namespace camphor {

/// What requests are likely to take: a usual time for each route, and for each
/// target how many times that it takes.
///
/// Routes of one pool differ by more than targets do, so that one average for a
/// target would mix them. State grows with routes plus targets, not with their
/// product. Not thread safe.
class LatencyModel {
 public:
  /// Learns from a success.
  void Learn(const RouteName& route, TargetStats& target, Microseconds took);

  /// Usual time of a route's requests in microseconds; 0 when there were none.
  double UsualUs(const RouteName& route) const;

  /// Expected time at a target in microseconds, where `usual_us` is UsualUs of
  /// the route; 0 when either is not known.
  static double ExpectedUs(double usual_us, const TargetStats& target);

 private:
  std::unordered_map<RouteName, double> usual_us_;  ///< by route
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_LATENCY_MODEL_H_

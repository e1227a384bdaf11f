#ifndef CAMPHORHILL_CORE_ROUTING_FINISH_MODEL_H_
#define CAMPHORHILL_CORE_ROUTING_FINISH_MODEL_H_

#include <cstdint>
#include <unordered_map>

#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/routing/load_report.h"
#include "core/routing/target_stats.h"

namespace camphor {

/// Predicts when a request would finish at a target, from the reports of the
/// target's host: service time, slots in use and queue, plus the requests that
/// this host sent since the report.
///
/// Load: a pool whose targets differ in speed by a factor of up to three, with
/// many callers' hosts, each of which sees only a small share of the requests
/// of a target.
///
/// The speed of a target is kept relative to the other targets, by route, so
/// that expensive routes do not make a target look slow. A speed expires after
/// kMaxSpeedAge; the load of a report is discounted within about a second. The
/// state grows with the number of routes plus the number of targets. Not
/// thread-safe.
class FinishModel {
 public:
  /// A speed that has not been confirmed for this long is not used: the target
  /// may have been restarted or have recovered meanwhile.
  static constexpr Milliseconds kMaxSpeedAge{10'000};

  /// Records a report that came with the response to a request of the route.
  void Record(const RouteName& route, TargetStats& target,
              const LoadReport& report, MonoTime now);

  /// Returns true if any target has reported within kMaxSpeedAge.
  bool HasReports(MonoTime now) const;

  /// Returns the mean service time of a route over the targets, in
  /// microseconds; 0 if unknown.
  double TypicalUs(const RouteName& route) const;

  /// Returns the service time of the target relative to that of its pool;
  /// 1 if unknown or expired.
  static double RelativeService(const TargetStats& target, MonoTime now);

  /// Inputs of a prediction.
  struct Request {
    double typical_us = 0;    ///< TypicalUs of its route
    std::uint32_t slots = 1;  ///< of the target; at least 1
    MonoTime now{};           ///< time of the decision
  };

  /// Returns the expected time from the arrival of a new request at the target
  /// to its end, in microseconds.
  static double FinishUs(const Request& request, const TargetStats& target);

 private:
  std::unordered_map<RouteName, double> typical_us_;  ///< by route
  MonoTime last_report_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_FINISH_MODEL_H_

#include "core/routing/latency_model.h"

#include <algorithm>
#include <cstddef>

namespace camphor {
namespace {

constexpr double kRouteWeight = 0.02;  // of the newest sample
constexpr double kTargetWeight = 0.1;  // of the newest sample
constexpr double kMostSlowness = 50;   // a single request says no more

/// Routes come and go with configurations: what is forgotten is learned again.
constexpr std::size_t kMostRoutes = 4096;

}  // namespace

void LatencyModel::Learn(const RouteName& route, TargetStats& target,
                         Microseconds took) {
  const auto sample = std::max(1.0, static_cast<double>(took.count()));
  if (usual_us_.size() >= kMostRoutes && !usual_us_.contains(route))
    usual_us_.clear();
  double& usual = usual_us_.try_emplace(route, sample).first->second;
  const double slowness = std::min(sample / usual, kMostSlowness);
  target.slowness =
      target.slowness == 0
          ? slowness
          : target.slowness + kTargetWeight * (slowness - target.slowness);
  usual += kRouteWeight * (sample - usual);
}

double LatencyModel::UsualUs(const RouteName& route) const {
  const auto found = usual_us_.find(route);
  return found == usual_us_.end() ? 0 : found->second;
}

double LatencyModel::ExpectedUs(double usual_us, const TargetStats& target) {
  return usual_us * target.slowness;
}

}  // namespace camphor

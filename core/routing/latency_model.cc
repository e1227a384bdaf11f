#include "core/routing/latency_model.h"

#include <algorithm>
#include <cstddef>

namespace camphor {
namespace {

// Weights of the newest sample in the moving averages.
constexpr double kRouteWeight = 0.02;
constexpr double kTargetWeight = 0.1;

// Limits the effect of a single slow request.
constexpr double kMaxSlowness = 50;

// Bounds the memory, since configuration changes add and remove routes. The
// averages are cleared at the limit and build up again.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void LatencyModel::Record(const RouteName& route, TargetStats& target,
                          Microseconds latency) {
  const auto sample = std::max(1.0, static_cast<double>(latency.count()));
  if (typical_us_.size() >= kMaxRoutes && !typical_us_.contains(route))
    typical_us_.clear();
  double& typical = typical_us_.try_emplace(route, sample).first->second;
  const double slowness = std::min(sample / typical, kMaxSlowness);
  target.slowness =
      target.slowness == 0
          ? slowness
          : target.slowness + kTargetWeight * (slowness - target.slowness);
  ++target.slowness_samples;
  typical += kRouteWeight * (sample - typical);
}

double LatencyModel::TypicalUs(const RouteName& route) const {
  const auto found = typical_us_.find(route);
  return found == typical_us_.end() ? 0 : found->second;
}

double LatencyModel::ExpectedUs(double typical_us, const TargetStats& target) {
  return typical_us * target.slowness;
}

}  // namespace camphor

#include "core/routing/finish_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <numbers>

namespace camphor {
namespace {

// Weights of the newest report in the moving averages. A report is already an
// average over the last requests of the target.
constexpr double kRouteWeight = 0.02;
constexpr double kTargetWeight = 0.3;

// Limits the effect of a report that is wrong.
constexpr double kMinRelative = 0.1;
constexpr double kMaxRelative = 50;

constexpr double kLoadWeight = 0.2;

// Bounds the memory, since configuration changes add and remove routes.
constexpr std::size_t kMaxRoutes = 4096;

// Returns the mean of the positive part of a normally distributed value.
double ExpectedExcess(double mean, double deviation) {
  if (deviation < 1e-3) return std::max(0.0, mean);
  const double z = mean / deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double probability = std::erfc(-z / std::numbers::sqrt2) / 2;
  return mean * probability + deviation * density;
}

}  // namespace

void FinishModel::Record(const RouteName& route, TargetStats& target,
                         const LoadReport& report, MonoTime now) {
  last_report_ = now;
  const double load = report.running + report.waiting;
  const bool first = target.reported_service_us == 0 ||
                     now - target.load_reported_at > kMaxSpeedAge;
  target.mean_load =
      first ? load : target.mean_load + kLoadWeight * (load - target.mean_load);
  target.reported_load = load;
  target.reported_service_us = static_cast<double>(report.service.count());
  target.load_reported_at = now;
  target.sent_since_report = 0;
  if (report.class_service.count() <= 0) return;

  const auto sample = static_cast<double>(report.class_service.count());
  if (typical_us_.size() >= kMaxRoutes && !typical_us_.contains(route))
    typical_us_.clear();
  double& typical = typical_us_.try_emplace(route, sample).first->second;
  const double relative =
      std::clamp(sample / typical, kMinRelative, kMaxRelative);
  const bool known = target.relative_service > 0 &&
                     now - target.speed_reported_at <= kMaxSpeedAge;
  target.relative_service =
      known ? target.relative_service +
                  kTargetWeight * (relative - target.relative_service)
            : relative;
  target.speed_reported_at = now;
  typical += kRouteWeight * (sample - typical);
}

bool FinishModel::HasReports(MonoTime now) const {
  return last_report_ != MonoTime{} && now - last_report_ <= kMaxSpeedAge;
}

double FinishModel::TypicalUs(const RouteName& route) const {
  const auto found = typical_us_.find(route);
  return found == typical_us_.end() ? 0 : found->second;
}

double FinishModel::RelativeService(const TargetStats& target, MonoTime now) {
  const bool known = target.relative_service > 0 &&
                     now - target.speed_reported_at <= kMaxSpeedAge;
  return known ? target.relative_service : 1;
}

double FinishModel::FinishUs(const Request& request,
                             const TargetStats& target) {
  const double service_us =
      request.typical_us * RelativeService(target, request.now);
  const bool known = target.reported_service_us > 0 &&
                     request.now - target.load_reported_at <= kMaxSpeedAge;
  const double slots = request.slots;
  if (!known) {
    // Only the own requests are known.
    const double own_excess = std::max(0.0, target.in_flight + 1 - slots);
    return service_us * (1 + own_excess / slots);
  }
  const double age_us = std::chrono::duration<double, std::micro>(
                            request.now - target.load_reported_at)
                            .count();
  // The load returns to its mean as the requests that were reported end.
  const double kept = std::exp(-age_us / target.reported_service_us);
  const double ahead = target.mean_load +
                       kept * (target.reported_load - target.mean_load) +
                       target.sent_since_report;
  const double variance = (1 - kept * kept) * std::max(1.0, target.mean_load);
  const double excess = ExpectedExcess(ahead + 1 - slots, std::sqrt(variance));
  return service_us + excess / slots * target.reported_service_us;
}

}  // namespace camphor

#include "core/rollout/ramp_plan.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace camphor {
namespace {

using FloatMs = std::chrono::duration<double, std::milli>;

/// Returns the share at which the ramp ends.
std::uint32_t RampEndShare(const RampOptions& options) {
  return kAllTrafficPpm - options.control_share_ppm;
}

/// Returns the number of steps from `share_ppm` to the end of the ramp, at
/// least 1.
double RemainingSteps(const RampOptions& options, std::uint32_t share_ppm) {
  const double factor = static_cast<double>(RampEndShare(options)) /
                        std::max<double>(share_ppm, 1);
  return std::max(1.0,
                  std::ceil(std::log(factor) / std::log(options.step_factor)));
}

/// Returns the time that is held in reserve before the deadline.
FloatMs ReserveTime(const RampOptions& options, const RampState& state) {
  const FloatMs allowed = state.complete_by - state.canary_since;
  return std::max(FloatMs(0), allowed * options.reserve_fraction);
}

/// Returns the factor of the next step, which is larger than usual if the
/// remaining time is too short for all steps.
double StepFactor(const RampOptions& options, const RampState& state,
                  MonoTime now) {
  const FloatMs remaining =
      state.complete_by - now - ReserveTime(options, state);
  const double possible =
      std::max(std::floor(remaining / FloatMs(options.min_step_duration)),
               options.min_steps);
  const double from = std::max(state.share_ppm, options.canary_share_ppm);
  return std::max(options.step_factor,
                  std::pow(RampEndShare(options) / from, 1 / possible));
}

/// Returns a route's share of a budget of which `even_fraction` is split evenly
/// among the routes and the rest in proportion to their requests.
double BlendedShare(double budget, double even_fraction, double weight,
                    std::size_t routes) {
  return budget * (1 - even_fraction) +
         budget * even_fraction / (static_cast<double>(routes) * weight);
}

}  // namespace

bool HasTimeToHold(const RampOptions& options, const RampState& state,
                   MonoTime now) {
  // Use twice the minimum duration, so that the last steps are not rushed.
  const FloatMs shortest_ramp =
      2 * RemainingSteps(options, state.share_ppm) * options.min_step_duration;
  return now + ReserveTime(options, state) + shortest_ramp < state.complete_by;
}

bool IsCanaryComplete(const RampOptions& options, const RampState& state,
                      MonoTime now) {
  assert(state.stage == RolloutStage::kCanary);
  const FloatMs elapsed = now - state.stage_since;
  if (elapsed < options.min_canary_duration) return false;
  const FloatMs allowed = state.complete_by - state.stage_since;
  const double fraction =
      state.hurry ? options.hurried_canary_fraction : options.canary_fraction;
  const FloatMs planned =
      std::min<FloatMs>(allowed * fraction, options.max_canary_duration);
  if (elapsed < planned) return false;
  return state.evidence < options.hold_threshold ||
         !HasTimeToHold(options, state, now);
}

std::optional<std::uint32_t> NextShare(const RampOptions& options,
                                       const RampState& state, MonoTime now) {
  assert(state.stage == RolloutStage::kRamp);
  if (state.since_step < options.min_step_duration) return std::nullopt;
  if (HasTimeToHold(options, state, now)) {
    if (state.evidence >= options.hold_threshold) return std::nullopt;
    // Spread the steps over the remaining time, including the time since the
    // last step.
    const double steps = RemainingSteps(options, state.share_ppm) + 1;
    const FloatMs remaining =
        state.complete_by - now - ReserveTime(options, state);
    const FloatMs planned = (remaining + FloatMs(state.since_step)) / steps;
    const FloatMs max_dwell = FloatMs(options.max_ramp_duration) / steps;
    const FloatMs dwell = state.hurry ? FloatMs(options.min_step_duration)
                                      : std::min(planned, max_dwell);
    if (FloatMs(state.since_step) < dwell) return std::nullopt;
  }
  const double next_share =
      std::ceil(state.share_ppm * StepFactor(options, state, now));
  return static_cast<std::uint32_t>(
      std::min<double>(next_share, RampEndShare(options)));
}

std::uint32_t ComputeCanaryShare(const RampOptions& options,
                                 double request_rate) {
  if (options.min_canary_rate <= 0 || request_rate <= 0) {
    return options.canary_share_ppm;
  }
  const double required =
      kAllTrafficPpm * options.min_canary_rate / request_rate;
  const auto max_share =
      std::max(options.max_canary_share_ppm, options.canary_share_ppm);
  return static_cast<std::uint32_t>(
      std::clamp<double>(required, options.canary_share_ppm, max_share));
}

std::uint32_t ComputeCanaryTargetCount(const RampOptions& options,
                                       std::uint32_t share_ppm,
                                       std::size_t old_targets,
                                       std::size_t new_targets) {
  if (share_ppm >= kAllTrafficPpm) return 0;
  const double odds = static_cast<double>(share_ppm) /
                      static_cast<double>(kAllTrafficPpm - share_ppm);
  const auto equal_load = static_cast<std::size_t>(
      std::ceil(odds * static_cast<double>(old_targets)));
  const std::size_t count = std::max(options.canary_targets, equal_load);
  return count >= new_targets ? 0 : static_cast<std::uint32_t>(count);
}

std::vector<RouteShare> ComputeRouteShares(
    const RampOptions& options, std::uint32_t share_ppm,
    const std::vector<RouteWeight>& weights) {
  std::vector<RouteShare> shares;
  const auto qualifies = [&options](const RouteWeight& route) {
    return route.weight > 0 && route.weight >= options.min_route_weight;
  };
  const auto routes =
      static_cast<std::size_t>(std::ranges::count_if(weights, qualifies));
  if (routes < 2) return shares;
  for (const RouteWeight& route : weights) {
    if (!qualifies(route)) continue;
    const double canary = std::min<double>(
        BlendedShare(options.canary_share_ppm, options.even_fraction,
                     route.weight, routes),
        options.max_route_share_ppm);
    const double control = std::min<double>(
        BlendedShare(options.control_share_ppm, options.even_fraction,
                     route.weight, routes),
        options.max_route_control_ppm);
    const double uncapped = share_ppm <= options.canary_share_ppm
                                ? canary
                                : std::max<double>(share_ppm, canary);
    const double share = std::min(uncapped, kAllTrafficPpm - control);
    shares.push_back(
        {.route = route.route, .share_ppm = static_cast<std::uint32_t>(share)});
  }
  return shares;
}

}  // namespace camphor

#include "core/rollout/ramp_plan.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace camphor {
namespace {

using FloatMs = std::chrono::duration<double, std::milli>;

/// Share at which the ramp ends.
std::uint32_t FullShareOf(const RampOptions& options) {
  return kWholeShare - options.control_share_ppm;
}

/// Steps from the given share to the full one, at least one.
double StepsLeft(const RampOptions& options, std::uint32_t share_ppm) {
  const double factor = static_cast<double>(FullShareOf(options)) /
                        std::max<double>(share_ppm, 1);
  return std::max(1.0, std::ceil(std::log(factor) / std::log(options.step)));
}

/// Time before the deadline that is kept in reserve.
FloatMs MarginOf(const RampOptions& options, const RampState& state) {
  const FloatMs allowed = state.complete_by - state.started;
  return std::max(FloatMs(0), allowed * options.margin_part);
}

/// Factor of the next step: larger than usual when the time left does not
/// suffice for all steps.
double StepFactor(const RampOptions& options, const RampState& state,
                  WallTime now) {
  const FloatMs left = state.complete_by - now - MarginOf(options, state);
  const double possible =
      std::max(std::floor(left / FloatMs(options.min_step_duration)),
               options.fewest_steps);
  const double from = std::max(state.share_ppm, options.canary_share_ppm);
  return std::max(options.step,
                  std::pow(FullShareOf(options) / from, 1 / possible));
}

/// Share of one route of a budget that is spread in part by requests and in
/// part alike over the routes.
double EvenShare(double budget, double even_part, double weight,
                 std::size_t routes) {
  return budget * (1 - even_part) +
         budget * even_part / (static_cast<double>(routes) * weight);
}

}  // namespace

bool HasTimeToWait(const RampOptions& options, const RampState& state,
                   WallTime now) {
  // Twice the shortest steps, so that the last ones are not rushed.
  const FloatMs shortest_ramp =
      2 * StepsLeft(options, state.share_ppm) * options.min_step_duration;
  return now + MarginOf(options, state) + shortest_ramp < state.complete_by;
}

bool CanaryPassed(const RampOptions& options, const RampState& state,
                  WallTime now) {
  assert(state.stage == RolloutStage::kCanary);
  const FloatMs spent = now - state.stage_since;
  if (spent < options.min_canary_duration) return false;
  const FloatMs allowed = state.complete_by - state.stage_since;
  const double part = state.hurry ? options.hurried_part : options.canary_part;
  const FloatMs planned =
      std::min<FloatMs>(allowed * part, options.longest_canary);
  if (spent < planned) return false;
  return state.evidence < options.doubt || !HasTimeToWait(options, state, now);
}

std::optional<std::uint32_t> NextShare(const RampOptions& options,
                                       const RampState& state, WallTime now) {
  assert(state.stage == RolloutStage::kRamp);
  if (state.since_step < options.min_step_duration) return std::nullopt;
  if (HasTimeToWait(options, state, now)) {
    if (state.evidence >= options.doubt) return std::nullopt;
    // Spread the steps over the time left; that since the last step counts.
    const double steps = StepsLeft(options, state.share_ppm) + 1;
    const FloatMs left = state.complete_by - now - MarginOf(options, state);
    const FloatMs planned = (left + FloatMs(state.since_step)) / steps;
    const FloatMs longest = FloatMs(options.longest_ramp) / steps;
    const FloatMs dwell = state.hurry ? FloatMs(options.min_step_duration)
                                      : std::min(planned, longest);
    if (FloatMs(state.since_step) < dwell) return std::nullopt;
  }
  const double wider =
      std::ceil(state.share_ppm * StepFactor(options, state, now));
  return static_cast<std::uint32_t>(
      std::min<double>(wider, FullShareOf(options)));
}

std::uint32_t CanaryShareFor(const RampOptions& options, double request_rate) {
  if (options.canary_rate <= 0 || request_rate <= 0)
    return options.canary_share_ppm;
  const double wanted = kWholeShare * options.canary_rate / request_rate;
  const auto most =
      std::max(options.most_canary_share_ppm, options.canary_share_ppm);
  return static_cast<std::uint32_t>(
      std::clamp<double>(wanted, options.canary_share_ppm, most));
}

std::uint32_t CanaryTargetsFor(const RampOptions& options,
                               std::uint32_t share_ppm, std::size_t old_targets,
                               std::size_t new_targets) {
  if (share_ppm >= kWholeShare) return 0;
  const double odds = static_cast<double>(share_ppm) /
                      static_cast<double>(kWholeShare - share_ppm);
  const auto equal_load = static_cast<std::size_t>(
      std::ceil(odds * static_cast<double>(old_targets)));
  const std::size_t count = std::max(options.canary_targets, equal_load);
  return count >= new_targets ? 0 : static_cast<std::uint32_t>(count);
}

std::vector<RouteShare> RouteSharesFor(
    const RampOptions& options, std::uint32_t share_ppm,
    const std::vector<RouteWeight>& weights) {
  std::vector<RouteShare> shares;
  const auto counts = [&options](const RouteWeight& route) {
    return route.weight > 0 && route.weight >= options.least_route_weight;
  };
  const auto routes =
      static_cast<std::size_t>(std::ranges::count_if(weights, counts));
  if (routes < 2) return shares;
  for (const RouteWeight& route : weights) {
    if (!counts(route)) continue;
    const double canary =
        std::min<double>(EvenShare(options.canary_share_ppm, options.even_part,
                                   route.weight, routes),
                         options.most_route_share_ppm);
    const double control =
        std::min<double>(EvenShare(options.control_share_ppm, options.even_part,
                                   route.weight, routes),
                         options.most_route_control_ppm);
    const double narrow = share_ppm <= options.canary_share_ppm
                              ? canary
                              : std::max<double>(share_ppm, canary);
    const double share = std::min(narrow, kWholeShare - control);
    shares.push_back(
        {.route = route.route, .share_ppm = static_cast<std::uint32_t>(share)});
  }
  return shares;
}

}  // namespace camphor

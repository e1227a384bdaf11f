#ifndef CAMPHORHILL_CORE_ROLLOUT_RAMP_PLAN_H_
#define CAMPHORHILL_CORE_ROLLOUT_RAMP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// Share of all requests, in parts per million.
inline constexpr std::uint32_t kAllTrafficPpm = 1'000'000;

/// Parameters of the traffic shift. Shares are in parts per million of the
/// pool's requests.
struct RampOptions {
  std::uint32_t canary_share_ppm = 7'000;  ///< share of the canary
  double min_canary_rate = 0;  ///< minimum requests per second of the canary;
                               ///< its share is raised up to
                               ///< `max_canary_share_ppm` to reach it
  std::uint32_t max_canary_share_ppm =
      150'000;  ///< maximum share of the canary when raised
  std::uint32_t control_share_ppm =
      20'000;  ///< share that stays with the old version during the bake, so
               ///< that both versions can be compared
  std::uint32_t max_route_share_ppm =
      200'000;  ///< maximum canary share of a rare route
  std::uint32_t max_route_control_ppm =
      200'000;                  ///< maximum control share of a rare route
  double even_fraction = 0.75;  ///< fraction of the canary and control shares
                                ///< that is split evenly among the routes
  std::size_t canary_targets = 4;  ///< minimum number of canary targets
  double step_factor = 1.6;  ///< factor by which each step increases the share
  double canary_fraction =
      0.6;  ///< fraction of the available time that the canary takes
  double hurried_canary_fraction =
      0.1;  ///< the same if the operator has expedited the rollout
  double reserve_fraction = 0.06;  ///< fraction of the available time that is
                                   ///< held in reserve before the deadline
  Milliseconds max_canary_duration{3'600'000};  ///< applies to late deadlines
  Milliseconds max_ramp_duration{3'600'000};    ///< applies to late deadlines
  Milliseconds min_canary_duration{10'000};  ///< applies even if time runs out
  Milliseconds min_step_duration{2'000};     ///< applies even if time runs out
  double min_steps = 4;  ///< minimum steps of a ramp, even if time runs out
  double hold_threshold = 0.45;  ///< evidence against the version at which the
                                 ///< share is held
  double min_route_weight = 0;  ///< minimum fraction of the pool's requests for
                                ///< a route to get a share of its own
};

/// State of a rollout from which its next share is planned. Immutable value
/// type.
struct RampState {
  RolloutStage stage = RolloutStage::kPending;  ///< current stage
  std::uint32_t share_ppm = 0;                  ///< current share
  MonoTime stage_since{};                       ///< start of the stage
  MonoTime canary_since{};     ///< start of the canary, or of the stage if this
                               ///< host has not seen the canary start
  MonoTime complete_by{};      ///< deadline for the full share
  Milliseconds since_step{0};  ///< time since the last change of the share
  double evidence = 0;  ///< evidence against the version; 1 rolls it back
  bool hurry = false;   ///< the operator has expedited the rollout
};

/// Fraction of the pool's requests that a route receives.
struct RouteWeight {
  RouteName route;    ///< name of the route
  double weight = 0;  ///< fraction of the pool's requests
};

/// Returns true if the share can be held without missing the deadline: the rest
/// of the ramp still fits into the remaining time. @pre the stage is kCanary or
/// kRamp. Thread-safe.
bool HasTimeToHold(const RampOptions& options, const RampState& state,
                   MonoTime now);

/// Returns true if the canary has run long enough. Evidence of at least
/// `hold_threshold` extends the canary as long as the deadline permits. @pre
/// state.stage is kCanary. Thread-safe.
bool IsCanaryComplete(const RampOptions& options, const RampState& state,
                      MonoTime now);

/// Returns the next share if a step is due. The steps have a constant factor
/// and are spread evenly over the remaining time; the share is held while the
/// evidence reaches `hold_threshold` and HasTimeToHold(). @pre state.stage is
/// kRamp. Thread-safe.
std::optional<std::uint32_t> NextShare(const RampOptions& options,
                                       const RampState& state, MonoTime now);

/// Returns the canary share for a pool that receives `request_rate` requests
/// per second. Small pools get a larger share, so that the canary receives
/// enough requests for a comparison. Thread-safe.
std::uint32_t ComputeCanaryShare(const RampOptions& options,
                                 double request_rate);

/// Returns the number of targets that receive the share of the new version,
/// chosen so that each is loaded about like a target of the old version; 0 for
/// all targets. Thread-safe.
std::uint32_t ComputeCanaryTargetCount(const RampOptions& options,
                                       std::uint32_t share_ppm,
                                       std::size_t old_targets,
                                       std::size_t new_targets);

/// Returns the shares of the routes for a pool share of `share_ppm`. Most of
/// the canary share is split evenly among the routes, so that rare routes get
/// enough requests for a comparison; once the pool share exceeds the canary
/// share of a route, the route follows the pool share. Empty if fewer than two
/// routes qualify. Thread-safe.
std::vector<RouteShare> ComputeRouteShares(
    const RampOptions& options, std::uint32_t share_ppm,
    const std::vector<RouteWeight>& weights);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_RAMP_PLAN_H_

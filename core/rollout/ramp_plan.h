#ifndef CAMPHORHILL_CORE_ROLLOUT_RAMP_PLAN_H_
#define CAMPHORHILL_CORE_ROLLOUT_RAMP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/replication/rollout_record.h"

namespace camphor {

inline constexpr std::uint32_t kWholeShare = 1'000'000;

/// How a rollout widens.
struct RampOptions {
  std::uint32_t canary_share_ppm =
      7'000;  ///< share of the pool's requests while it is a canary
  double canary_rate = 0;  ///< requests a second that the canary is to have at
                           ///< least, within `most_canary_share_ppm`
  std::uint32_t most_canary_share_ppm =
      150'000;  ///< share that it takes at most for that
  std::uint32_t control_share_ppm =
      20'000;  ///< share that stays with the old version while it is watched at
               ///< full share, so that both can be compared
  std::uint32_t most_route_share_ppm =
      200'000;  ///< most that a rare route gives the canary
  std::uint32_t most_route_control_ppm =
      200'000;  ///< most that a rare route leaves to the old version
  double even_part = 0.75;  ///< part of that share, and of the control's, that
                            ///< is spread alike over the routes
  std::size_t canary_targets = 4;  ///< targets that share the canary's requests
  double step = 1.6;               ///< each step widens the share so many times
  double canary_part = 0.6;   ///< part of the time allowed that is spent as a
                              ///< canary
  double hurried_part = 0.1;  ///< the same when the operator hurries
  double margin_part = 0.06;  ///< part of the time allowed that is kept in
                              ///< reserve before the deadline
  Milliseconds longest_canary{3'600'000};  ///< bound for long deadlines
  Milliseconds longest_ramp{3'600'000};    ///< bound for long deadlines
  Milliseconds min_canary_duration{
      10'000};                            ///< also when the time is almost up
  Milliseconds min_step_duration{2'000};  ///< also when the time is almost up
  double fewest_steps = 4;  ///< of a ramp, also when the time is almost up
  double doubt = 0.45;  ///< evidence against the version that holds the share
  double least_route_weight = 0;  ///< part of the pool's requests from which a
                                  ///< route has a share of its own
};

/// Where a rollout stands as its share is planned. Immutable value type.
struct RampState {
  RolloutStage stage = RolloutStage::kPending;  ///< how far it has come
  std::uint32_t share_ppm = 0;                  ///< share now
  WallTime stage_since{};                       ///< start of the stage
  WallTime started{};          ///< start of the canary, as far as known
  WallTime complete_by{};      ///< the operator's time
  Milliseconds since_step{0};  ///< since the share last changed
  double evidence = 0;         ///< against the version; 1 rolls back
  bool hurry = false;          ///< the operator hurries
};

/// Requests of a route, as a weight.
struct RouteWeight {
  RouteName route;    ///< which route
  double weight = 0;  ///< its share of the pool's requests
};

/// True while a doubt may hold the share: the rest of the ramp still fits into
/// the time left. @pre the stage is kCanary or kRamp. Thread safety: any
/// thread.
bool HasTimeToWait(const RampOptions& options, const RampState& state,
                   WallTime now);

/// True when the canary has run long enough. A doubt prolongs it as long as
/// the time allows. @pre state.stage is kCanary. Thread safety: any thread.
bool CanaryPassed(const RampOptions& options, const RampState& state,
                  WallTime now);

/// The next wider share, when it is time for it: evenly spread over the time
/// left, in steps of one factor, held while there is doubt and time to wait.
/// @pre state.stage is kRamp. Thread safety: any thread.
std::optional<std::uint32_t> NextShare(const RampOptions& options,
                                       const RampState& state, WallTime now);

/// Share of a canary on a pool of the given requests a second: a small pool
/// gives more, so that there is something to judge by. Thread safety: any
/// thread.
std::uint32_t CanaryShareFor(const RampOptions& options, double request_rate);

/// Targets that the new version's share is to be concentrated on, so that each
/// meets about the load of an old one; 0 for all. Thread safety: any thread.
std::uint32_t CanaryTargetsFor(const RampOptions& options,
                               std::uint32_t share_ppm, std::size_t old_targets,
                               std::size_t new_targets);

/// Shares of the routes when the pool's share is `share_ppm`: most of the
/// canary's budget is spread alike over the routes, so that rare ones are
/// judged too; a wider share overtakes it. Thread safety: any thread.
std::vector<RouteShare> RouteSharesFor(const RampOptions& options,
                                       std::uint32_t share_ppm,
                                       const std::vector<RouteWeight>& weights);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_RAMP_PLAN_H_

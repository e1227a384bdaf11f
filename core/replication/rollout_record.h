#ifndef CAMPHORHILL_CORE_REPLICATION_ROLLOUT_RECORD_H_
#define CAMPHORHILL_CORE_REPLICATION_ROLLOUT_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// How far a rollout has come. The order is the merge order; kRolledBack is the
/// top and always wins.
enum class RolloutStage : std::uint8_t {
  kPending,  ///< accepted; the old version has all traffic
  kCanary,   ///< a small share on a few targets
  kRamp,     ///< share rises with the evidence
  kBake,     ///< full share, still watched
  kDone,     ///< the new version serves; final unless rolled back before it was
             ///< recorded
  kRolledBack,  ///< the old version serves; final
};

/// Why a rollout stands where it does, for the operator. Immutable value type.
struct RolloutReason {
  std::string
      signal{};  ///< "failures", "latency", "operator", "deadline" and so on
  RouteName route{};  ///< route that showed it; empty for the whole pool
  std::uint64_t new_requests = 0;  ///< requests that the new version had on it
  std::uint64_t old_requests = 0;  ///< requests that the old version had on it
  std::string sentence{};          ///< one sentence for the operator

  auto operator<=>(const RolloutReason&) const = default;
};

/// Share of one route's requests for the new version. Immutable value type.
struct RouteShare {
  RouteName route;  ///< which route
  std::uint32_t share_ppm =
      0;  ///< share of that route's requests, in millionths

  auto operator<=>(const RouteShare&) const = default;
};

/// The agreed state of one rollout. Immutable value type with a merge that only
/// moves up.
struct RolloutRecord {
  RolloutId id;                                 ///< "pool/from/to/attempt"
  RolloutStage stage = RolloutStage::kPending;  ///< how far it has come
  std::uint32_t share_ppm =
      0;  ///< share of the pool's requests for the new version, in millionths
  std::vector<RouteShare>
      route_shares{};  ///< routes whose share differs from `share_ppm`, sorted
                       ///< by route; gives rare routes enough requests
  std::uint32_t canary_targets =
      0;  ///< the new version's share goes to this many of its targets, chosen
          ///< by ChooseTargets; 0 means all
  WallTime stage_since{};  ///< when this stage was entered
  WallTime ordered_at{};   ///< from when the time allowed counts; zero: not
                           ///< known, or the order names its own time
  bool hurry = false;  ///< the operator asked to go ahead faster; never unset
  bool recorded = false;   ///< the platform holds the final outcome
  RolloutReason reason{};  ///< why it stands there

  /// Keeps an outcome that the platform holds (there is one at most), then the
  /// higher stage, then the higher share; joins the operator's wish; the
  /// earliest time of the order stands.
  /// Commutative, associative, idempotent. @pre both have one id. Thread
  /// safety: any thread.
  static RolloutRecord Merge(const RolloutRecord& left,
                             const RolloutRecord& right);

  auto operator<=>(const RolloutRecord&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_ROLLOUT_RECORD_H_

#ifndef CAMPHORHILL_CORE_REPLICATION_ROLLOUT_RECORD_H_
#define CAMPHORHILL_CORE_REPLICATION_ROLLOUT_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// Progress of a rollout. The order is the merge order; kRolledBack is the
/// highest and always wins.
enum class RolloutStage : std::uint8_t {
  kPending,     ///< accepted; the old version has all traffic
  kCanary,      ///< a small share on a few targets
  kRamp,        ///< the share rises with the evidence
  kBake,        ///< full share, still monitored
  kDone,        ///< the new version serves; final unless rolled back before the
                ///< outcome is recorded
  kRolledBack,  ///< the old version serves; final
};

/// Reason for the current state of a rollout, for the operator. Immutable value
/// type.
struct RolloutReason {
  std::string
      signal{};  ///< "failures", "latency", "operator", "deadline" and so on
  RouteName route{};  ///< route that caused it; empty for the whole pool
  std::uint64_t new_requests =
      0;  ///< requests to the new version on this route
  std::uint64_t old_requests =
      0;                   ///< requests to the old version on this route
  std::string sentence{};  ///< explanation in one sentence

  auto operator<=>(const RolloutReason&) const = default;
};

/// Share of one route's requests for the new version. Immutable value type.
struct RouteShare {
  RouteName route;  ///< name of the route
  std::uint32_t share_ppm =
      0;  ///< share of that route's requests, in millionths

  auto operator<=>(const RouteShare&) const = default;
};

/// Replicated state of one rollout. Immutable value type; a merge never moves
/// it backwards.
struct RolloutRecord {
  RolloutId id;                                 ///< "pool/from/to/attempt"
  RolloutStage stage = RolloutStage::kPending;  ///< progress
  std::uint32_t share_ppm =
      0;  ///< share of the pool's requests for the new version, in millionths
  std::vector<RouteShare>
      route_shares{};  ///< routes whose share differs from `share_ppm`, sorted
                       ///< by route; gives rare routes enough requests
  std::uint32_t canary_targets =
      0;  ///< the new version's share goes to this many of its targets, chosen
          ///< by ChooseTargets; 0 means all
  WallTime stage_since{};  ///< when this stage was entered
  WallTime
      ordered_at{};  ///< start of the rollout's time limit; zero if unknown or
                     ///< if the rollout has an absolute deadline
  bool hurry = false;  ///< the operator asked to proceed faster; never cleared
  bool recorded = false;   ///< the platform has stored the final outcome
  RolloutReason reason{};  ///< reason for the current state

  /// Prefers a recorded outcome (there is at most one), then the higher stage,
  /// then the higher share. `hurry` is set if it is set in either record, and
  /// the earliest known `ordered_at` is kept. Commutative, associative,
  /// idempotent. Thread-safe. @pre both have the same id.
  static RolloutRecord Merge(const RolloutRecord& left,
                             const RolloutRecord& right);

  auto operator<=>(const RolloutRecord&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_ROLLOUT_RECORD_H_

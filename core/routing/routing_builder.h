#ifndef CAMPHORHILL_CORE_ROUTING_ROUTING_BUILDER_H_
#define CAMPHORHILL_CORE_ROUTING_ROUTING_BUILDER_H_

#include <map>
#include <set>
#include <utility>

#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "core/replication/host_record.h"
#include "core/replication/poison_record.h"
#include "core/replication/rollout_record.h"
#include "core/routing/effective_routing.h"

namespace camphor {

/// Inputs of BuildRouting. Members held by reference must outlive the call.
struct RoutingInputs {
  HostId self;  ///< this host; its targets are local
  ConfigSnapshotPtr
      snapshot{};  ///< active configuration; null results in no routes
  const std::map<HostId, HostRecord>&
      hosts;  ///< host records as known to this host
  const std::map<RolloutId, RolloutRecord>&
      rollouts;  ///< rollout records as known to this host
  const std::map<std::uint64_t, PoisonRecord>&
      poison;           ///< poison records that have not expired
  WallTime wall_now{};  ///< decides which requests are blocked
  std::set<std::pair<PoolName, TargetVersion>>
      locally_ejected{};  ///< versions that this host has ejected on its own
};

/// Builds the routing tables of a proxy. Deterministic: equal inputs give equal
/// results. If a rollout has no record, or is pending or rolled back, the old
/// version gets all of the traffic. Thread-safe.
EffectiveRouting BuildRouting(const RoutingInputs& inputs);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_ROUTING_BUILDER_H_

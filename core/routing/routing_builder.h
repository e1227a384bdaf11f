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

/// Everything that the effective routing is derived from; what is given by
/// reference outlives the call.
struct RoutingInputs {
  HostId self;  ///< this host: its targets are local
  ConfigSnapshotPtr
      snapshot{};  ///< configuration in force; null gives no routes
  const std::map<HostId, HostRecord>&
      hosts;  ///< host records as this host sees them
  const std::map<RolloutId, RolloutRecord>&
      rollouts;  ///< rollout records as this host sees them
  const std::map<std::uint64_t, PoisonRecord>&
      poison;  ///< poison records that have not expired
  std::set<std::pair<PoolName, TargetVersion>>
      locally_ejected{};  ///< versions this host itself stopped using
};

/// Derives what a proxy serves. The same inputs give the same result. A rollout
/// without a record, or one that is pending or rolled back, gives the old
/// version all of the traffic. Thread safety: any thread.
EffectiveRouting BuildRouting(const RoutingInputs& inputs);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_ROUTING_BUILDER_H_

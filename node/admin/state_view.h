#ifndef CAMPHORHILL_NODE_ADMIN_STATE_VIEW_H_
#define CAMPHORHILL_NODE_ADMIN_STATE_VIEW_H_

#include <boost/json/fwd.hpp>

#include "core/config/config_snapshot.h"
#include "core/replication/replicator.h"
#include "core/rollout/rollout_manager.h"

namespace camphor {

/// JSON views of this host's state for the admin API. Must be called from the
/// decisions thread, which owns the state.

/// Version, digest, routes and pools of the active configuration. `snapshot`
/// may be null.
boost::json::object ConfigView(const ConfigSnapshotPtr& snapshot);

/// All hosts as seen by this host.
boost::json::array HostsView(const Replicator& replicator);

/// All targets of all hosts, each with its host.
boost::json::array TargetsView(const Replicator& replicator);

/// All rollouts of the active configuration, each with its record and
/// specification.
boost::json::array RolloutsView(const Replicator& replicator);

/// The teams of the active configuration. A key appears as the start of its
/// digest. `quotas` is the dump of the quota manager: the use of each team on
/// this host is added, and the use on all hosts where this host is the team's
/// allocator.
boost::json::array TeamsView(const ConfigSnapshotPtr& snapshot,
                             const boost::json::value& quotas);

/// Number of hosts in each status, and number of live hosts that serve the
/// newest configuration known to this host.
boost::json::object HostCountsView(const Replicator& replicator);

/// Parses JSON text; returns the text as a JSON string if it is not valid JSON.
boost::json::value ParseJsonOrText(const std::string& text);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_STATE_VIEW_H_

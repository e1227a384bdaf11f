#ifndef CAMPHORHILL_NODE_ADMIN_STATE_VIEW_H_
#define CAMPHORHILL_NODE_ADMIN_STATE_VIEW_H_

#include <boost/json/fwd.hpp>

#include "core/config/config_snapshot.h"
#include "core/replication/replicator.h"
#include "core/rollout/rollout_manager.h"

namespace camphor {

/// JSON views of this host's state for the admin API. Thread safety: the
/// decisions thread, which owns what they read.

/// Version, digest, routes and pools in force; `snapshot` may be null.
boost::json::object ConfigView(const ConfigSnapshotPtr& snapshot);

/// Every host as this one sees it.
boost::json::array HostsView(const Replicator& replicator);

/// Every target of every host, with the host that it runs on.
boost::json::array TargetsView(const Replicator& replicator);

/// Every rollout of the configuration in force, with its record and order.
boost::json::array RolloutsView(const Replicator& replicator);

/// How many hosts are in which status, and how many of the live ones serve the
/// newest configuration that this host knows.
boost::json::object HostCountsView(const Replicator& replicator);

/// Text of JSON as a value; a string when it is not JSON.
boost::json::value ParsedOrText(const std::string& text);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_STATE_VIEW_H_

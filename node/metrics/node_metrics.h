#ifndef CAMPHORHILL_NODE_METRICS_NODE_METRICS_H_
#define CAMPHORHILL_NODE_METRICS_NODE_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/replication/host_record.h"
#include "mesh/mesh_transport.h"
#include "node/decisions/decision_thread.h"
#include "node/metrics/tick_times.h"
#include "platform/http_platform_client.h"

namespace camphor {

/// What the metrics of a node are made from.
struct NodeMetrics {
  bool ready = false;                             ///< callers are served
  ConfigVersion config_version = 0;               ///< version in force
  const std::map<HostId, HostRecord>& hosts;      ///< as this host sees them
  bool platform_reachable = false;                ///< last read was answered
  HttpPlatformClient::Counters platform{};        ///< calls of the platform
  std::vector<DecisionThread::RingLoad> rings{};  ///< load of the rings
  TickTimes ticks{};                              ///< of the decisions thread
  MeshTransport::Counters mesh{};                 ///< counters of the mesh
  std::uint64_t admin_requests = 0;               ///< requests answered
  std::uint64_t log_dropped = 0;                  ///< log lines dropped
};

/// Metrics of all but the proxy, in the Prometheus text format. Thread safety:
/// any thread.
std::string NodeMetricsText(const NodeMetrics& metrics);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_NODE_METRICS_H_

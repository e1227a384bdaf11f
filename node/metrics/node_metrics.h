#ifndef CAMPHORHILL_NODE_METRICS_NODE_METRICS_H_
#define CAMPHORHILL_NODE_METRICS_NODE_METRICS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/replication/host_record.h"
#include "mesh/mesh_transport.h"
#include "node/decisions/decision_thread.h"
#include "node/metrics/tick_times.h"
#include "platform/http_platform_client.h"

namespace camphor {

/// Input of NodeMetricsText().
struct NodeMetrics {
  bool ready = false;                         ///< callers are served
  ConfigVersion config_version = 0;           ///< active version
  const std::map<HostId, HostRecord>& hosts;  ///< as seen by this host
  std::optional<Milliseconds>
      config_age{};  ///< of the knowledge of the configuration, if it is kept
  bool platform_reachable = false;                ///< last read succeeded
  HttpPlatformClient::Counters platform{};        ///< platform calls
  std::vector<DecisionThread::RingLoad> rings{};  ///< queue statistics
  TickTimes ticks{};                 ///< ticks of the decisions thread
  MeshTransport::Counters mesh{};    ///< mesh traffic
  std::uint64_t admin_requests = 0;  ///< requests answered
  std::uint64_t admin_connections_refused = 0;  ///< too many were open
  std::uint64_t admin_connections_yielded =
      0;  ///< closed because others needed their place or their buffers
  std::uint64_t admin_buffers_refused = 0;  ///< requests and connections
                                            ///< refused for lack of buffers
  std::uint64_t log_dropped = 0;            ///< log lines dropped
};

/// Formats all metrics except those of the proxy in the Prometheus text format.
/// Thread-safe.
std::string NodeMetricsText(const NodeMetrics& metrics);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_NODE_METRICS_H_

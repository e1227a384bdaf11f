#ifndef CAMPHORHILL_NODE_NODE_REPORT_H_
#define CAMPHORHILL_NODE_NODE_REPORT_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>

#include "mesh/mesh_transport.h"
#include "node/admin/admin_server.h"
#include "node/decisions/decision_thread.h"
#include "node/decisions/host_controller.h"
#include "node/log/log_sink.h"
#include "node/platform_sync/platform_sync.h"
#include "node/settings/settings.h"
#include "platform/http_platform_client.h"
#include "proxy/proxy_server.h"
#include "store/claim_store.h"

namespace camphor {

/// Builds status, dump and metrics of a node for the admin API.
///
/// Created for each response. Must be used from the decisions thread.
class NodeReport {
 public:
  /// Components of the node; each must outlive the report.
  struct Parts {
    const Settings& settings;            ///< settings of this process
    std::uint64_t incarnation = 0;       ///< incarnation of this process
    Seconds uptime{0};                   ///< time since the start
    bool ready = false;                  ///< callers can be served
    bool draining = false;               ///< graceful shutdown in progress
    HostController& controller;          ///< replicated state and rollouts
    const PlatformSync& sync;            ///< synchronization with the platform
    const ProxyServer& proxy;            ///< request counts and listeners
    const MeshTransport& mesh;           ///< mesh counters
    const HttpPlatformClient& platform;  ///< platform call counters
    const ClaimStore& claims;            ///< idempotency claims
    const DecisionThread& decisions;     ///< queues and ticks
    const AdminServer& admin;            ///< admin listener
    const LogSink& log;                  ///< dropped lines
  };

  explicit NodeReport(const Parts& parts) : parts_(parts) {}

  /// Status of the process. Must be called from the decisions thread.
  boost::json::object Status() const;

  /// State of all components except those that AdminApi adds. Must be called
  /// from the decisions thread.
  boost::json::object Dump() const;

  /// All metrics in the Prometheus text format. Must be called from the
  /// decisions thread.
  std::string Metrics() const;

 private:
  boost::json::object MeshState() const;
  boost::json::object PlatformState() const;

  Parts parts_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_NODE_REPORT_H_

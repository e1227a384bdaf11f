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

/// Tells the state of every part of a node, for the admin API and metrics.
///
/// Made for one answer and used on the decisions thread.
class NodeReport {
 public:
  /// The parts; each outlives the report.
  struct Parts {
    const Settings& settings;            ///< of this process
    std::uint64_t incarnation = 0;       ///< of this process
    Seconds uptime{0};                   ///< since the start
    bool ready = false;                  ///< callers can be served
    bool draining = false;               ///< this host goes
    HostController& controller;          ///< decisions
    const PlatformSync& sync;            ///< what is read from the platform
    const ProxyServer& proxy;            ///< callers and targets
    const MeshTransport& mesh;           ///< other hosts
    const HttpPlatformClient& platform;  ///< calls of the platform
    const ClaimStore& claims;            ///< idempotency claims
    const DecisionThread& decisions;     ///< rings
    const AdminServer& admin;            ///< operators and targets
    const LogSink& log;                  ///< log lines
  };

  explicit NodeReport(const Parts& parts) : parts_(parts) {}

  /// What the process says of itself. Thread safety: the decisions thread.
  boost::json::object Status() const;

  /// State of every part but those that the admin API adds. Thread safety: the
  /// decisions thread.
  boost::json::object Dump() const;

  /// Every metric in the Prometheus text format. Thread safety: the decisions
  /// thread.
  std::string Metrics() const;

 private:
  boost::json::object MeshState() const;
  boost::json::object PlatformState() const;

  Parts parts_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_NODE_REPORT_H_

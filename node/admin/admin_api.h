#ifndef CAMPHORHILL_NODE_ADMIN_ADMIN_API_H_
#define CAMPHORHILL_NODE_ADMIN_ADMIN_API_H_

#include <boost/json/fwd.hpp>
#include <functional>
#include <string>

#include "node/admin/admin_router.h"
#include "node/decisions/decision_thread.h"
#include "node/decisions/host_controller.h"
#include "node/log/log_sink.h"
#include "node/settings/settings.h"
#include "proxy/placement_preview.h"
#include "store/config_repository.h"

namespace camphor {

/// Implements the admin API: the resources under /v1, the health probes and the
/// metrics.
///
/// State is read and changed on the decisions thread, which also sends the
/// responses.
class AdminApi {
 public:
  struct Options {
    Settings settings;                     ///< of this process
    LogSink* log = nullptr;                ///< must outlive this object
    DecisionThread* decisions = nullptr;   ///< must outlive this object
    HostController* controller = nullptr;  ///< must outlive this object
    std::function<void(const ConfigEdit&,
                       std::function<void(const AcceptResult&)>)>
        accept{};  ///< accepts an edit; called on the decisions thread
    std::function<void(std::function<void(bool)>)>
        await_departures_stored{};  ///< passes true to the function once the
                                    ///< targets' departures are stored, or soon
                                    ///< false; called on the decisions thread
    std::function<boost::json::object()>
        status{};  ///< process status; called on the decisions thread
    std::function<boost::json::object()>
        dump{};  ///< state of the other components; called on the decisions
                 ///< thread
    std::function<bool(PreviewRequest,
                       std::function<void(const PlacementPreview&)>)>
        preview{};  ///< see ProxyServer::Preview; called on the admin thread,
                    ///< calls back on the proxy thread
    std::function<std::string()>
        metrics{};  ///< Prometheus text; called on the decisions thread
    std::function<bool()>
        alive{};  ///< whether the decisions thread makes progress
    std::function<bool()> ready{};  ///< whether callers can be served
    std::function<void()> drain{};  ///< starts a graceful shutdown
  };

  explicit AdminApi(Options options);

  /// Handles one request. Must be called from the admin thread.
  void Handle(const AdminRequest& request, const AdminRespond& respond) const {
    router_.Route(request, respond);
  }

 private:
  using View = std::function<boost::json::value(HostController&)>;

  void RespondOnceStored(const AdminRespond& respond) const;
  void AddProbes();
  void AddViews();
  void AddTargets();
  void AddRollouts();
  void AddOperations();

  /// Returns a handler that responds with a view of the state.
  AdminRouter::Handler ViewHandler(View view) const;

  /// Runs a task on the decisions thread, or responds with 503 if the process
  /// is shutting down.
  void PostToDecisions(const AdminRespond& respond,
                       DecisionThread::Task task) const;

  void PutConfig(const AdminRouter::Call& call, const AdminRespond& respond);
  void Report(const AdminRouter::Call& call, const AdminRespond& respond);
  void Announce(const AdminRouter::Call& call, const AdminRespond& respond);
  void Preview(const AdminRouter::Call& call, const AdminRespond& respond);
  AdminResponse MakePreview(const PlacementPreview& preview) const;
  void PutLogLevel(const AdminRouter::Call& call, const AdminRespond& respond);

  Options options_;
  AdminRouter router_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_API_H_

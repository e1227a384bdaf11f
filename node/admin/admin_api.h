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
#include "store/config_repository.h"

namespace camphor {

/// The resources of the admin API under /v1, the probes and the metrics.
///
/// Reads and changes of state run on the decisions thread; the answers come
/// back from there.
class AdminApi {
 public:
  struct Options {
    Settings settings;                     ///< of this process
    LogSink* log = nullptr;                ///< outlives this
    DecisionThread* decisions = nullptr;   ///< outlives this
    HostController* controller = nullptr;  ///< outlives this
    std::function<void(const ConfigEdit&,
                       std::function<void(const AcceptResult&)>)>
        accept{};  ///< accepts an edit; runs on the decisions thread
    std::function<boost::json::object()>
        status{};  ///< what the process says of itself; decisions thread
    std::function<boost::json::object()>
        dump{};  ///< state of every other part; decisions thread
    std::function<std::string()>
        metrics{};                  ///< Prometheus text; decisions thread
    std::function<bool()> alive{};  ///< the decisions thread makes progress
    std::function<bool()> ready{};  ///< callers may be served
    std::function<void()> drain{};  ///< begins a graceful shutdown
  };

  explicit AdminApi(Options options);

  /// Answers one request. Thread safety: the admin thread.
  void Handle(const AdminRequest& request, const AdminRespond& respond) const {
    router_.Route(request, respond);
  }

 private:
  using View = std::function<boost::json::value(HostController&)>;

  void AddProbes();
  void AddViews();
  void AddTargets();
  void AddRollouts();
  void AddOperations();

  /// Answers with a view of the state.
  AdminRouter::Handler Show(View view) const;

  /// Runs a task on the decisions thread, or answers that the process stops.
  void OnDecisions(const AdminRespond& respond,
                   DecisionThread::Task task) const;

  void PutConfig(const AdminRouter::Call& call, const AdminRespond& respond);
  void Report(const AdminRouter::Call& call, const AdminRespond& respond);
  void Announce(const AdminRouter::Call& call, const AdminRespond& respond);
  void PutLogLevel(const AdminRouter::Call& call, const AdminRespond& respond);

  Options options_;
  AdminRouter router_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_API_H_

#ifndef CAMPHORHILL_NODE_NODE_H_
#define CAMPHORHILL_NODE_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "node/log/log_sink.h"
#include "node/settings/settings.h"

namespace camphor {

/// One camphord process: joins the proxy, the mesh, the platform, the admin API
/// and the decisions.
///
/// Start, then Drain and Stop, all from one thread.
class Node {
 public:
  struct Options {
    Settings settings;       ///< checked settings
    LogSink* log = nullptr;  ///< outlives the node
    std::function<void()>
        drain_requested{};  ///< an operator asked to drain; any thread
  };

  explicit Node(Options options);
  ~Node();

  /// Starts every thread and listener. Returns false, with last_reason set,
  /// when an address can not be had. It logs once callers can be served.
  bool Start();

  /// Tells the mesh that this host goes, stops taking requests and waits for
  /// those in flight. Returns false when the limit of the settings passed with
  /// some left.
  bool Drain();

  /// Closes everything and joins every thread.
  void Stop();

  /// Addresses in use after Start.
  Endpoint caller_endpoint() const;
  Endpoint admin_endpoint() const;

  /// Why the last call failed.
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_NODE_H_

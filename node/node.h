#ifndef CAMPHORHILL_NODE_NODE_H_
#define CAMPHORHILL_NODE_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "node/log/log_sink.h"
#include "node/settings/settings.h"

namespace camphor {

/// One camphord process: connects the proxy, the mesh, the platform client, the
/// admin API and the decisions thread.
///
/// Call Start(), then Drain() and Stop(), all from one thread.
class Node {
 public:
  struct Options {
    Settings settings;       ///< validated settings
    LogSink* log = nullptr;  ///< must outlive the node
    std::function<void()>
        drain_requested{};  ///< called on a drain request; from any thread
  };

  explicit Node(Options options);
  ~Node();

  /// Starts all threads and listeners. Returns false and sets last_reason() if
  /// a listener cannot be opened. Logs "ready" once callers can be served.
  bool Start();

  /// Announces to the mesh that this host is leaving, stops accepting requests
  /// and waits for those in flight. Returns false if some are still in flight
  /// at the time limit of the settings.
  bool Drain();

  /// Closes all listeners and connections and joins all threads.
  void Stop();

  /// Bound addresses after Start().
  Endpoint caller_endpoint() const;
  Endpoint admin_endpoint() const;

  /// Reason of the last failure of Start().
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_NODE_H_

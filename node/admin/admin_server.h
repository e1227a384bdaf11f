#ifndef CAMPHORHILL_NODE_ADMIN_ADMIN_SERVER_H_
#define CAMPHORHILL_NODE_ADMIN_ADMIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "node/admin/admin_message.h"
#include "proxy/proxy_limit.h"

namespace camphor {

/// HTTP server for operators, targets and monitoring, on its own thread.
///
/// Limits the number of connections, the sizes of headers and bodies, the
/// memory of all of them together, and the duration of reads and writes. When
/// places or buffers run short, connections that wait for their peer are
/// closed.
class AdminServer {
 public:
  struct Options {
    Endpoint listen{};                          ///< port 0: any free port
    std::vector<Endpoint> additional_listen{};  ///< further addresses
    std::uint32_t connections = 128;            ///< maximum open connections
    std::uint32_t header_bytes =
        16 * 1024;  ///< maximum size of the request headers
    std::uint32_t body_bytes =
        4 * 1024 * 1024;  ///< maximum size of a request body
    std::uint64_t buffer_bytes =
        10 * 1024 * 1024;  ///< buffers of all connections together
    Milliseconds timeout{
        30000};  ///< limit for reading a request or writing a response
    std::function<void(ProxyLimit)>
        on_limit{};  ///< called on the admin thread when a limit took effect,
                     ///< for logging; null when disabled
    std::function<void(const AdminRequest&, AdminRespond)>
        handle{};  ///< called on the admin thread; must not block
  };

  explicit AdminServer(Options options);
  ~AdminServer();

  /// Starts listening. On failure returns false and sets last_reason().
  bool Start();

  /// Closes all listeners and connections and joins the thread.
  void Stop();

  /// Bound address after Start(). Thread-safe.
  Endpoint endpoint() const;

  /// Number of responses sent. Thread-safe.
  std::uint64_t requests() const;

  /// Number of connections refused because of the limit. Thread-safe.
  std::uint64_t connections_refused() const;

  /// Number of connections closed because others needed their place or their
  /// buffers. Thread-safe.
  std::uint64_t connections_yielded() const;

  /// Number of requests and connections refused for lack of buffers.
  /// Thread-safe.
  std::uint64_t buffers_refused() const;

  /// Reason of the last failure of Start().
  const std::string& last_reason() const;

 private:
  struct State;
  class Session;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_SERVER_H_

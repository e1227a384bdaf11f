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

namespace camphor {

/// HTTP listener for operators, targets and monitoring, on a thread of its own.
///
/// Limits the number of connections, the size of headers and bodies, and the
/// time that a request may take.
class AdminServer {
 public:
  struct Options {
    Endpoint listen{};                           ///< port 0 takes any
    std::vector<Endpoint> also_listen{};         ///< serve the same
    std::uint32_t connections = 128;             ///< open at a time at most
    std::uint32_t header_bytes = 16 * 1024;      ///< of one request at most
    std::uint32_t body_bytes = 4 * 1024 * 1024;  ///< of one request at most
    Milliseconds timeout{
        30000};  ///< for a request to come in or an answer to go out
    std::function<void(const AdminRequest&, AdminRespond)>
        handle{};  ///< runs on the admin thread and must be quick
  };

  explicit AdminServer(Options options);
  ~AdminServer();

  /// Starts listening. Returns false, with last_reason set, when the address
  /// can not be had.
  bool Start();

  /// Closes everything and joins the thread.
  void Stop();

  /// Address in use after Start. Thread safety: any thread.
  Endpoint endpoint() const;

  /// Requests answered since the start. Thread safety: any thread.
  std::uint64_t requests() const;

  /// Connections refused because too many were open. Thread safety: any thread.
  std::uint64_t connections_refused() const;

  /// Why the last call failed.
  const std::string& last_reason() const;

 private:
  struct State;
  class Session;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_SERVER_H_

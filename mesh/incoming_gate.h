#ifndef CAMPHORHILL_MESH_INCOMING_GATE_H_
#define CAMPHORHILL_MESH_INCOMING_GATE_H_

#include <kj/async-io.h>
#include <kj/timer.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "core/replication/mesh_message.h"
#include "mesh/transport_counters.h"

namespace camphor {

/// Accepts connections, checks who knocks, and hands over what admitted peers
/// deliver. Mesh thread only.
class IncomingGate final : private kj::TaskSet::ErrorHandler {
 public:
  struct Options {
    std::string key{};                   ///< mesh key
    std::size_t most_connections = 512;  ///< more are closed at once
    kj::Duration handshake_timeout = 5 * kj::SECONDS;  ///< until admitted
    kj::Duration idle_timeout = 30 * kj::SECONDS;      ///< without a delivery
    std::function<void(const Endpoint&, MeshMessage)>
        on_message{};  ///< an admitted peer delivered a message
  };

  /// @pre timer and counters outlive this.
  IncomingGate(Options options, kj::Own<kj::ConnectionReceiver> listener,
               kj::Timer& timer, TransportCounters& counters);
  ~IncomingGate() noexcept(false);

  /// Port that it listens on.
  unsigned port();

 private:
  struct Connection;

  void AcceptNext();
  void Admit(kj::Own<kj::AsyncIoStream> stream);
  static void Watch(Connection& watched);
  void SweepLater();
  void Sweep();
  void taskFailed(kj::Exception&& exception) override;

  Options options_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Timer& timer_;
  TransportCounters& counters_;
  std::list<std::shared_ptr<Connection>> connections_;
  kj::TaskSet tasks_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_INCOMING_GATE_H_

#ifndef CAMPHORHILL_MESH_MESH_LISTENER_H_
#define CAMPHORHILL_MESH_MESH_LISTENER_H_

#include <kj/async-io.h>
#include <kj/timer.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "core/base/pending_handshakes.h"
#include "core/replication/mesh_message.h"
#include "mesh/mesh_limit.h"
#include "mesh/transport_counters.h"

namespace camphor {

/// Accepts mesh connections, authenticates the peers and passes on the messages
/// of authenticated peers. Peers that do not authenticate hold few bytes, for a
/// short time, and no place that a host needs. Must be used from the mesh
/// thread only.
class MeshListener final : private kj::TaskSet::ErrorHandler {
 public:
  struct Options {
    std::string key{};                  ///< mesh key
    std::size_t max_connections = 512;  ///< maximum connections of hosts that
                                        ///< have authenticated
    std::size_t max_pending_handshakes =
        256;  ///< maximum connections of peers that have not; see
              ///< PendingHandshakes::PlacesBeside
    std::uint64_t max_handshake_bytes =
        16 * 1024;  ///< a peer sends no more before it has authenticated
    kj::Duration handshake_timeout = 5 * kj::SECONDS;  ///< until authenticated
    kj::Duration idle_timeout = 30 * kj::SECONDS;      ///< between deliveries
    std::function<void(const Endpoint&, MeshMessage)>
        on_message{};  ///< called for each message of an authenticated peer
    std::function<void(MeshLimit)>
        on_limit{};  ///< called when a limit took effect; null when disabled
  };

  /// @pre `timer` and `counters` outlive this object.
  MeshListener(Options options, kj::Own<kj::ConnectionReceiver> listener,
               kj::Timer& timer, TransportCounters& counters);
  ~MeshListener() noexcept(false);

  /// Returns the port that is listened on.
  unsigned port();

 private:
  struct Connection;

  void AcceptNext();
  void AddConnection(kj::Own<kj::AsyncIoStream> stream);
  bool AdmitHost(Connection& connection);
  void Displace(const Connection& connection);
  std::size_t CountHosts() const;
  void OnLimit(MeshLimit limit) const;
  static void WatchDisconnect(Connection& watched);
  void ScheduleCleanup();
  void CleanUpConnections();
  void taskFailed(kj::Exception&& exception) override;

  Options options_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Timer& timer_;
  TransportCounters& counters_;
  PendingHandshakes handshakes_;
  std::list<std::shared_ptr<Connection>> connections_;
  kj::TaskSet tasks_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_MESH_LISTENER_H_

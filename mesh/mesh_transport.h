#ifndef CAMPHORHILL_MESH_MESH_TRANSPORT_H_
#define CAMPHORHILL_MESH_MESH_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "core/replication/mesh_message.h"
#include "mesh/mesh_limit.h"

namespace camphor {

/// Sends and receives messages between hosts over Cap'n Proto RPC, on a thread
/// of its own (the mesh thread).
///
/// A handshake verifies the protocol version and the mesh key on both sides.
/// Connections are opened on the first send, closed when idle, and reopened
/// with jittered exponential backoff. The callbacks run on the mesh thread and
/// must not block.
class MeshTransport {
 public:
  struct Options {
    Endpoint listen{};     ///< endpoint to listen on; also the one that peers
                           ///< see, unless `advertise` is set
    Endpoint advertise{};  ///< endpoint that peers see, if they reach this host
                           ///< by another address than `listen`; port 0: unset
    std::string key;       ///< mesh key: the secret shared by all hosts
    std::size_t ring_capacity =
        8192;  ///< maximum messages queued for the mesh thread
    std::size_t max_connections =
        256;  ///< maximum connections in each direction; neighbours need about
              ///< a dozen, the others are for hosts that join
    std::size_t max_pending_handshakes =
        128;  ///< maximum connections of peers that have not authenticated; see
              ///< PendingHandshakes::PlacesBeside
    std::uint64_t max_handshake_bytes =
        16 * 1024;  ///< a peer sends no more before it has authenticated; a
                    ///< host sends less than 1 KiB
    std::function<void(const Endpoint&, MeshMessage)>
        on_message{};  ///< called with the sender and its message
    std::function<void(const Endpoint&, bool)>
        on_peer_state{};  ///< called with true when a peer was connected, and
                          ///< with false when connecting failed or the
                          ///< connection was lost
    std::function<void(MeshLimit)>
        on_limit{};  ///< called when a limit on incoming connections took
                     ///< effect, for logging; null when disabled
  };

  /// Counters of the transport, for metrics and the state dump. Immutable value
  /// type.
  struct Counters {
    std::uint64_t bytes_sent = 0;      ///< protocol bytes, all connections
    std::uint64_t bytes_received = 0;  ///< protocol bytes, all connections
    std::uint64_t handshakes_refused =
        0;  ///< because of the key, the protocol version, a malformed or
            ///< incomplete handshake, or too many connections
    std::uint64_t handshakes_displaced =
        0;  ///< connections closed before they authenticated, for newer ones
    std::uint64_t handshakes_too_long =
        0;  ///< connections closed because their peer sent or announced more
            ///< than a handshake needs
    std::uint64_t messages_dropped =
        0;  ///< because the peer was unreachable or a limit was reached
    std::uint64_t messages_malformed =
        0;  ///< received messages that could not be decoded
    std::map<std::string, std::uint64_t>
        bytes_by_purpose{};  ///< encoded bytes by purpose of the message
  };

  explicit MeshTransport(Options options);
  ~MeshTransport();

  /// Starts the mesh thread and listens. Returns false and sets last_reason()
  /// if listening fails.
  /// @pre Not started before.
  bool Start();

  /// Closes all connections and joins the mesh thread.
  void Stop();

  /// Queues a message for sending. Returns false if the ring is full. Must be
  /// called from one thread.
  bool Send(const Endpoint& to, const MeshMessage& message);

  /// Returns the endpoint listened on, with the actual port if port 0 was
  /// requested. Thread-safe.
  /// @pre Started.
  Endpoint listen_endpoint() const;

  /// Returns the number of messages queued for the mesh thread. Thread-safe.
  std::size_t ring_depth() const;

  /// Returns the number of messages refused because the ring was full.
  /// Thread-safe.
  std::uint64_t ring_refused() const;

  /// Returns the current counters. Thread-safe.
  Counters counters() const;

  /// Returns why the last Start() failed; empty if it succeeded.
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_MESH_TRANSPORT_H_

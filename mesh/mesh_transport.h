#ifndef CAMPHORHILL_MESH_MESH_TRANSPORT_H_
#define CAMPHORHILL_MESH_MESH_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/base/endpoint.h"
#include "core/replication/mesh_message.h"

namespace camphor {

/// Carries typed messages between hosts by Cap'n Proto RPC, on a thread of its
/// own.
///
/// A handshake checks protocol version and mesh key on both sides. Connections
/// are opened on the first send, kept while used, and opened again after a
/// jittered exponential delay. The hooks run on the mesh thread and must be
/// quick.
class MeshTransport {
 public:
  struct Options {
    Endpoint
        listen{};  ///< where to listen; also this host's name towards peers
    Endpoint advertise{};  ///< name towards peers in place of `listen`, when
                           ///< they reach it by another address; port 0: none
    std::string key;       ///< shared secret that keeps strangers out
    std::size_t ring_capacity =
        8192;  ///< messages that wait for the mesh thread at most
    std::size_t most_connections =
        256;  ///< connections each way at most; neighbours need a dozen, the
              ///< rest is for hosts that join
    std::function<void(const Endpoint&, MeshMessage)>
        on_message{};  ///< a peer sent a message
    std::function<void(const Endpoint&, bool)>
        on_peer_state{};  ///< a peer was reached or lost
  };

  /// Counters of the whole transport, for metrics and the dump. Immutable value
  /// type.
  struct Counters {
    std::uint64_t bytes_sent = 0;      ///< protocol bytes, all connections
    std::uint64_t bytes_received = 0;  ///< protocol bytes, all connections
    std::uint64_t handshakes_refused =
        0;  ///< strangers and other protocol versions
    std::uint64_t messages_dropped =
        0;  ///< messages to peers that could not be reached
    std::uint64_t messages_malformed =
        0;  ///< messages of peers that were not understood
    std::map<std::string, std::uint64_t>
        bytes_by_purpose{};  ///< encoded bytes by kind of message
  };

  explicit MeshTransport(Options options);
  ~MeshTransport();

  /// Starts listening. Returns false, with last_reason set, when the address
  /// can not be had. @pre not started before.
  bool Start();

  /// Closes every connection and joins the thread.
  void Stop();

  /// Queues a message. Returns false when the ring is full. Thread safety: one
  /// sending thread.
  bool Send(const Endpoint& to, const MeshMessage& message);

  /// Where it listens, with the port that was chosen for port 0. @pre started.
  /// Thread safety: any thread.
  Endpoint listen_endpoint() const;

  /// Messages that wait for the mesh thread, and those refused by a full ring.
  /// Thread safety: any thread.
  std::size_t ring_depth() const;
  std::uint64_t ring_refused() const;

  /// Counters so far. Thread safety: any thread.
  Counters counters() const;

  /// Why the last call failed.
  const std::string& last_reason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_MESH_TRANSPORT_H_

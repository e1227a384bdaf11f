#ifndef CAMPHORHILL_MESH_PEER_CHANNEL_H_
#define CAMPHORHILL_MESH_PEER_CHANNEL_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/base/backoff.h"
#include "core/base/endpoint.h"
#include "core/replication/mesh_message.h"
#include "mesh/handshake.h"
#include "mesh/mesh.capnp.h"
#include "mesh/transport_counters.h"

namespace camphor {

/// Sends messages to one peer over a connection that is opened on demand. Must
/// be used from the mesh thread only.
///
/// Send() opens a connection if there is none and the backoff delay has
/// elapsed. At most one delivery call is in flight; messages that are queued
/// meanwhile are batched into the next one. A call that times out closes the
/// connection. As the connection alone may have gone silent, the batch is sent
/// again at once on a new one, so a message may be delivered twice. If that
/// fails, too, the peer is considered unresponsive.
class PeerChannel final : private kj::TaskSet::ErrorHandler {
 public:
  struct Options {
    Endpoint self{};    ///< endpoint under which peers know this host
    Endpoint peer{};    ///< endpoint to connect to
    std::string key{};  ///< mesh key
    kj::Duration connect_timeout =
        3 * kj::SECONDS;  ///< for connecting, including the handshake
    kj::Duration call_timeout = 1 * kj::SECONDS;  ///< for one delivery call
    std::size_t max_queued_messages = 4096;       ///< further ones are dropped
    std::size_t max_batch_messages = 128;  ///< messages per delivery call
    std::uint32_t random_seed = 1;         ///< seed of the backoff jitter
    std::function<void(bool)>
        on_connection_state{};  ///< called with true when connected, and with
                                ///< false when connecting failed or the
                                ///< connection was lost
  };

  /// @pre `network`, `timer` and `counters` outlive this object.
  PeerChannel(Options options, kj::Network& network, kj::Timer& timer,
              TransportCounters& counters);
  ~PeerChannel() noexcept(false);

  /// Queues a message. The message is dropped, and counted as dropped, during
  /// the backoff delay after a failure or if the queue is full.
  void Send(std::shared_ptr<const MeshMessage> message);

  /// Returns whether no message was sent since `time` and neither a message nor
  /// a call nor a connection attempt is pending.
  bool IdleSince(kj::TimePoint time) const;

 private:
  struct Connection;
  enum class Phase { kIdle, kConnecting, kConnected };

  void Connect();
  kj::Promise<void> Handshake(Connection& connection);
  void OnConnected(Connection& connection);
  void DeliverIfReady();
  void Deliver();
  void OnDelivered();
  void OnCallTimeout();
  void CloseConnection();
  void Disconnect();
  void taskFailed(kj::Exception&& exception) override;

  Options options_;
  kj::Network& network_;
  kj::Timer& timer_;
  TransportCounters& counters_;
  std::minstd_rand random_;
  Backoff backoff_;
  Phase phase_ = Phase::kIdle;
  bool call_in_flight_ = false;
  kj::TimePoint next_connect_;
  kj::TimePoint last_used_;
  std::deque<std::shared_ptr<const MeshMessage>> queue_;
  std::vector<std::shared_ptr<const MeshMessage>>
      in_delivery_;            // not in queue_
  bool redelivering_ = false;  // the last call timed out; its messages are sent
                               // again on a new connection
  kj::Own<Connection> connection_;
  kj::TaskSet tasks_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_PEER_CHANNEL_H_

#ifndef CAMPHORHILL_MESH_OUTGOING_PEER_H_
#define CAMPHORHILL_MESH_OUTGOING_PEER_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "core/base/backoff.h"
#include "core/base/endpoint.h"
#include "core/replication/mesh_message.h"
#include "mesh/handshake.h"
#include "mesh/mesh.capnp.h"
#include "mesh/transport_counters.h"

namespace camphor {

/// The connection by which this host sends to one peer. Mesh thread only.
///
/// Dials on a message when it is not connected and its delay is over; keeps one
/// call under way and gathers what comes meanwhile into the next. A call that
/// is not answered in time ends the connection, since it went silent.
class OutgoingPeer final : private kj::TaskSet::ErrorHandler {
 public:
  struct Options {
    Endpoint self{};    ///< this host's name towards peers
    Endpoint peer{};    ///< whom to dial
    std::string key{};  ///< mesh key
    kj::Duration dial_timeout = 3 * kj::SECONDS;  ///< for the whole handshake
    kj::Duration call_timeout = 5 * kj::SECONDS;  ///< for one delivery
    std::size_t longest_queue = 4096;      ///< messages that wait at most
    std::size_t longest_batch = 128;       ///< messages of one call at most
    std::uint32_t random_seed = 1;         ///< of the delays
    std::function<void(bool)> on_state{};  ///< reached, or not reached
  };

  /// @pre network, timer and counters outlive this.
  OutgoingPeer(Options options, kj::Network& network, kj::Timer& timer,
               TransportCounters& counters);
  ~OutgoingPeer() noexcept(false);

  /// Queues a message; drops and counts it when the peer is out of reach.
  void Send(std::shared_ptr<const MeshMessage> message);

  /// True when nothing was sent since the given time and nothing is under way.
  bool IdleSince(kj::TimePoint time) const;

 private:
  struct Connection;
  enum class Phase { kIdle, kDialing, kConnected };

  void Dial();
  kj::Promise<void> Handshake(Connection& connection);
  void OnConnected(Connection& connection);
  void Pump();
  void Deliver();
  void Fail();
  void taskFailed(kj::Exception&& exception) override;

  Options options_;
  kj::Network& network_;
  kj::Timer& timer_;
  TransportCounters& counters_;
  std::minstd_rand random_;
  Backoff backoff_;
  Phase phase_ = Phase::kIdle;
  bool call_under_way_ = false;
  kj::TimePoint next_dial_;
  kj::TimePoint last_used_;
  std::deque<std::shared_ptr<const MeshMessage>> queue_;
  kj::Own<Connection> connection_;
  kj::TaskSet tasks_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_OUTGOING_PEER_H_

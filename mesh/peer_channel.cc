#include "mesh/peer_channel.h"

#include <kj/debug.h>

#include <utility>

#include "mesh/message_codec.h"
#include "mesh/wire_message.h"

namespace camphor {
namespace {

kj::ArrayPtr<const kj::byte> AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

}  // namespace

// State of one connection. The promises are declared last so that they are
// destroyed first.
struct PeerChannel::Connection {
  kj::Own<CountingStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  wire::Inbox::Client inbox = nullptr;
  HandshakeTranscript transcript{};
  kj::Promise<void> connect_attempt = kj::NEVER_DONE;
  kj::Promise<void> call = kj::NEVER_DONE;
  kj::Promise<void> disconnect_watch = kj::NEVER_DONE;
};

PeerChannel::PeerChannel(Options options, kj::Network& network,
                         kj::Timer& timer, TransportCounters& counters)
    : options_(std::move(options)),
      network_(network),
      timer_(timer),
      counters_(counters),
      random_(options_.random_seed),
      backoff_({.initial_delay = Milliseconds(100),
                .max_delay = Milliseconds(5000)}),
      next_connect_(timer.now()),
      last_used_(timer.now()),
      tasks_(*this) {}

PeerChannel::~PeerChannel() noexcept(false) = default;

void PeerChannel::Send(std::shared_ptr<const MeshMessage> message) {
  const bool in_backoff =
      phase_ == Phase::kIdle && timer_.now() < next_connect_;
  if (in_backoff || queue_.size() >= options_.max_queued_messages) {
    counters_.dropped.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  last_used_ = timer_.now();
  queue_.push_back(std::move(message));
  if (phase_ == Phase::kIdle) Connect();
  if (phase_ == Phase::kConnected) DeliverIfReady();
}

bool PeerChannel::IdleSince(kj::TimePoint time) const {
  return last_used_ < time && queue_.empty() && !call_in_flight_ &&
         phase_ != Phase::kConnecting;
}

void PeerChannel::Connect() {
  phase_ = Phase::kConnecting;
  connection_ = kj::heap<Connection>();
  Connection& connection = *connection_;
  auto chain =
      network_.parseAddress(options_.peer.address.c_str(), options_.peer.port)
          .then([](kj::Own<kj::NetworkAddress> address) {
            auto connecting = address->connect();
            return connecting.attach(kj::mv(address));
          })
          .then([this, &connection](kj::Own<kj::AsyncIoStream> stream) {
            connection.stream =
                kj::heap<CountingStream>(kj::mv(stream), counters_.bytes);
            connection.client =
                kj::heap<capnp::TwoPartyClient>(*connection.stream);
            return Handshake(connection);
          });
  connection.connect_attempt =
      timer_.timeoutAfter(options_.connect_timeout, kj::mv(chain))
          .then([this, &connection] { OnConnected(connection); },
                [this](kj::Exception&&) { Disconnect(); })
          .eagerlyEvaluate(nullptr);
}

kj::Promise<void> PeerChannel::Handshake(Connection& connection) {
  auto gate = connection.client->bootstrap().castAs<wire::Gate>();
  connection.transcript = {.client_endpoint = options_.self.ToString(),
                           .client_nonce = MakeNonce()};
  auto request = gate.challengeRequest();
  request.setProtocolVersion(kMeshProtocolVersion);
  request.setEndpoint(connection.transcript.client_endpoint);
  request.setNonce(AsData(connection.transcript.client_nonce));
  return request.send()
      .then([this, &connection, gate](auto&& reply) mutable {
        // Verify the server before sending the client proof, so that an
        // unauthenticated server receives no proof.
        connection.transcript.server_nonce = ToString(reply.getNonce());
        const bool valid_proof =
            reply.getProtocolVersion() == kMeshProtocolVersion &&
            ProofsEqual(ToString(reply.getProof()),
                        ServerProof(options_.key, connection.transcript));
        if (!valid_proof) {
          counters_.refused.fetch_add(1, std::memory_order_relaxed);
          kj::throwFatalException(KJ_EXCEPTION(
              FAILED, "server proof or protocol version does not match"));
        }
        const std::string proof =
            ClientProof(options_.key, connection.transcript);
        auto enter = gate.enterRequest();
        enter.setProof(AsData(proof));
        return enter.send();
      })
      .then(
          [&connection](auto&& reply) { connection.inbox = reply.getInbox(); });
}

void PeerChannel::OnConnected(Connection& connection) {
  phase_ = Phase::kConnected;
  backoff_.Reset();
  connection.disconnect_watch =
      connection.client->onDisconnect()
          .then([this] { Disconnect(); })
          .eagerlyEvaluate([this](kj::Exception&&) { Disconnect(); });
  options_.on_connection_state(true);
  DeliverIfReady();
}

void PeerChannel::DeliverIfReady() {
  if (phase_ != Phase::kConnected || call_in_flight_ || queue_.empty()) return;
  Deliver();
}

void PeerChannel::Deliver() {
  const auto count = static_cast<unsigned>(
      std::min(queue_.size(), options_.max_batch_messages));
  auto request = connection_->inbox.deliverRequest();
  auto messages = request.initMessages(count);
  for (unsigned index = 0; index < count; ++index) {
    const MeshMessage& message = *queue_.front();
    WriteWireMessage(message, messages[index]);
    counters_.AddEncodedBytes(
        MessagePurpose(message),
        messages[index].totalSize().wordCount * sizeof(capnp::word));
    in_delivery_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  call_in_flight_ = true;
  connection_->call =
      timer_.timeoutAfter(options_.call_timeout, request.send().ignoreResult())
          .then([this] { OnDelivered(); },
                [this](kj::Exception&& exception) {
                  const bool timed_out =
                      exception.getType() == kj::Exception::Type::OVERLOADED;
                  timed_out ? OnCallTimeout() : Disconnect();
                })
          .eagerlyEvaluate(nullptr);
}

void PeerChannel::OnDelivered() {
  call_in_flight_ = false;
  redelivering_ = false;
  in_delivery_.clear();
  // The next call replaces the promise of this one, which must not be destroyed
  // while its continuation runs.
  tasks_.add(kj::evalLater([this] { DeliverIfReady(); }));
}

void PeerChannel::OnCallTimeout() {
  if (redelivering_) {
    Disconnect();
    return;
  }
  redelivering_ = true;
  call_in_flight_ = false;
  queue_.insert(queue_.begin(), in_delivery_.begin(), in_delivery_.end());
  in_delivery_.clear();
  CloseConnection();
  Connect();
}

void PeerChannel::CloseConnection() {
  // This may run in a continuation of a promise of the connection, so the
  // connection is destroyed in a later turn of the event loop.
  tasks_.add(kj::evalLater(
      [closed = kj::mv(connection_)]() mutable { closed = nullptr; }));
}

void PeerChannel::Disconnect() {
  if (phase_ == Phase::kIdle) return;
  phase_ = Phase::kIdle;
  call_in_flight_ = false;
  redelivering_ = false;
  counters_.dropped.fetch_add(queue_.size() + in_delivery_.size(),
                              std::memory_order_relaxed);
  queue_.clear();
  in_delivery_.clear();
  next_connect_ =
      timer_.now() + backoff_.Next(random_).count() * kj::MILLISECONDS;
  CloseConnection();
  options_.on_connection_state(false);
}

void PeerChannel::taskFailed(kj::Exception&&) { Disconnect(); }

}  // namespace camphor

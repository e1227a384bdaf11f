#include "mesh/outgoing_peer.h"

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

// All that belongs to one connection; the promises go first when it ends.
struct OutgoingPeer::Connection {
  kj::Own<CountingStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  wire::Inbox::Client inbox = nullptr;
  HandshakeTerms terms{};
  kj::Promise<void> dial = kj::NEVER_DONE;
  kj::Promise<void> call = kj::NEVER_DONE;
  kj::Promise<void> watch = kj::NEVER_DONE;
};

OutgoingPeer::OutgoingPeer(Options options, kj::Network& network,
                           kj::Timer& timer, TransportCounters& counters)
    : options_(std::move(options)),
      network_(network),
      timer_(timer),
      counters_(counters),
      random_(options_.random_seed),
      backoff_({.initial_delay = Milliseconds(100),
                .max_delay = Milliseconds(5000)}),
      next_dial_(timer.now()),
      last_used_(timer.now()),
      tasks_(*this) {}

OutgoingPeer::~OutgoingPeer() noexcept(false) = default;

void OutgoingPeer::Send(std::shared_ptr<const MeshMessage> message) {
  const bool waits = phase_ == Phase::kIdle && timer_.now() < next_dial_;
  if (waits || queue_.size() >= options_.longest_queue) {
    counters_.dropped.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  last_used_ = timer_.now();
  queue_.push_back(std::move(message));
  if (phase_ == Phase::kIdle) Dial();
  if (phase_ == Phase::kConnected) Pump();
}

bool OutgoingPeer::IdleSince(kj::TimePoint time) const {
  return last_used_ < time && queue_.empty() && !call_under_way_ &&
         phase_ != Phase::kDialing;
}

void OutgoingPeer::Dial() {
  phase_ = Phase::kDialing;
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
  connection.dial = timer_.timeoutAfter(options_.dial_timeout, kj::mv(chain))
                        .then([this, &connection] { OnConnected(connection); },
                              [this](kj::Exception&&) { Fail(); })
                        .eagerlyEvaluate(nullptr);
}

kj::Promise<void> OutgoingPeer::Handshake(Connection& connection) {
  auto gate = connection.client->bootstrap().castAs<wire::Gate>();
  connection.terms = {.client_endpoint = options_.self.ToString(),
                      .client_nonce = MakeNonce()};
  auto request = gate.challengeRequest();
  request.setProtocolVersion(kMeshProtocolVersion);
  request.setEndpoint(connection.terms.client_endpoint);
  request.setNonce(AsData(connection.terms.client_nonce));
  return request.send()
      .then([this, &connection, gate](auto&& reply) mutable {
        // The server proves itself first; a stranger learns nothing from us.
        connection.terms.server_nonce = ToString(reply.getNonce());
        const bool genuine =
            reply.getProtocolVersion() == kMeshProtocolVersion &&
            ProofsEqual(ToString(reply.getProof()),
                        ServerProof(options_.key, connection.terms));
        if (!genuine) {
          counters_.refused.fetch_add(1, std::memory_order_relaxed);
          kj::throwFatalException(KJ_EXCEPTION(
              FAILED, "the peer has another mesh key or protocol version"));
        }
        const std::string proof = ClientProof(options_.key, connection.terms);
        auto enter = gate.enterRequest();
        enter.setProof(AsData(proof));
        return enter.send();
      })
      .then(
          [&connection](auto&& reply) { connection.inbox = reply.getInbox(); });
}

void OutgoingPeer::OnConnected(Connection& connection) {
  phase_ = Phase::kConnected;
  backoff_.Reset();
  connection.watch = connection.client->onDisconnect()
                         .then([this] { Fail(); })
                         .eagerlyEvaluate([this](kj::Exception&&) { Fail(); });
  options_.on_state(true);
  Pump();
}

void OutgoingPeer::Pump() {
  if (phase_ != Phase::kConnected || call_under_way_ || queue_.empty()) return;
  Deliver();
}

void OutgoingPeer::Deliver() {
  const auto count =
      static_cast<unsigned>(std::min(queue_.size(), options_.longest_batch));
  auto request = connection_->inbox.deliverRequest();
  auto messages = request.initMessages(count);
  for (unsigned index = 0; index < count; ++index) {
    const MeshMessage& message = *queue_.front();
    WriteWireMessage(message, messages[index]);
    counters_.Add(PurposeOf(message),
                  messages[index].totalSize().wordCount * sizeof(capnp::word));
    queue_.pop_front();
  }
  call_under_way_ = true;
  connection_->call =
      timer_.timeoutAfter(options_.call_timeout, request.send().ignoreResult())
          .then(
              [this] {
                call_under_way_ = false;
                // The next call may not replace this promise while it runs.
                tasks_.add(kj::evalLater([this] { Pump(); }));
              },
              [this](kj::Exception&&) { Fail(); })
          .eagerlyEvaluate(nullptr);
}

void OutgoingPeer::Fail() {
  if (phase_ == Phase::kIdle) return;
  phase_ = Phase::kIdle;
  call_under_way_ = false;
  counters_.dropped.fetch_add(queue_.size(), std::memory_order_relaxed);
  queue_.clear();
  next_dial_ = timer_.now() + backoff_.Next(random_).count() * kj::MILLISECONDS;

  // A promise can not end its own connection while it runs: another turn does.
  tasks_.add(kj::evalLater(
      [dead = kj::mv(connection_)]() mutable { dead = nullptr; }));
  options_.on_state(false);
}

void OutgoingPeer::taskFailed(kj::Exception&&) { Fail(); }

}  // namespace camphor

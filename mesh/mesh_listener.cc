#include "mesh/mesh_listener.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <netdb.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "mesh/handshake.h"
#include "mesh/mesh.capnp.h"
#include "mesh/wire_message.h"

namespace camphor {
namespace {

constexpr std::uint64_t kMaxMessageWords = 1024 * 1024;  // 8 MB
constexpr kj::Duration kCleanupPeriod = 1 * kj::SECONDS;

kj::ArrayPtr<const kj::byte> AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// State of one connection, shared by its RPC objects.
struct PeerSession {
  const std::string& key;
  TransportCounters& counters;
  kj::Timer& timer;
  const std::function<void(const Endpoint&, MeshMessage)>& on_message;
  bool authenticated = false;
  bool refused = false;
  kj::TimePoint last_used;
  std::function<bool()> admit{};  ///< called when the proof was verified;
                                  ///< returns false if too many hosts are
                                  ///< connected
  HandshakeTranscript transcript{};
  Endpoint peer{};
};

// Receives the messages of an authenticated peer.
class InboxServer final : public wire::Inbox::Server {
 public:
  explicit InboxServer(std::shared_ptr<PeerSession> session)
      : session_(std::move(session)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    session_->last_used = session_->timer.now();
    for (auto wire : context.getParams().getMessages()) {
      // Malformed messages are counted and skipped; the others are delivered.
      const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions(
          [&] { session_->on_message(session_->peer, ReadWireMessage(wire)); });
      if (failure != nullptr)
        session_->counters.malformed.fetch_add(1, std::memory_order_relaxed);
    }
    context.releaseParams();
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<PeerSession> session_;
};

// Authenticates a peer and then gives it access to the inbox.
class GateServer final : public wire::Gate::Server {
 public:
  explicit GateServer(std::shared_ptr<PeerSession> session)
      : session_(std::move(session)) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    const auto params = context.getParams();
    const std::string endpoint = params.getEndpoint().cStr();
    const std::optional<Endpoint> peer = Endpoint::Parse(endpoint);
    const bool valid_challenge =
        params.getProtocolVersion() == kMeshProtocolVersion && peer &&
        params.getNonce().size() == kNonceBytes &&
        session_->transcript.server_nonce.empty();
    if (!valid_challenge)
      Refuse("unsupported protocol version or malformed challenge");
    session_->peer = *peer;
    session_->transcript = {.client_endpoint = endpoint,
                            .client_nonce = ToString(params.getNonce()),
                            .server_nonce = MakeNonce()};
    const std::string proof = ServerProof(session_->key, session_->transcript);
    auto results = context.getResults();
    results.setProtocolVersion(kMeshProtocolVersion);
    results.setNonce(AsData(session_->transcript.server_nonce));
    results.setProof(AsData(proof));
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext context) override {
    const bool valid_proof =
        !session_->transcript.server_nonce.empty() &&
        ProofsEqual(ToString(context.getParams().getProof()),
                    ClientProof(session_->key, session_->transcript));
    if (!valid_proof) Refuse("client proof does not match the mesh key");
    if (!session_->authenticated && !session_->admit())
      Refuse("too many hosts are connected");
    session_->authenticated = true;
    context.getResults().setInbox(kj::heap<InboxServer>(session_));
    return kj::READY_NOW;
  }

 private:
  [[noreturn]] void Refuse(const char* reason) {
    session_->refused = true;
    session_->counters.refused.fetch_add(1, std::memory_order_relaxed);
    kj::throwFatalException(KJ_EXCEPTION(FAILED, reason));
  }

  std::shared_ptr<PeerSession> session_;
};

capnp::ReaderOptions ReaderLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

/// Returns the IP address of the peer without its port; empty if the connection
/// is already gone.
std::string PeerAddress(kj::AsyncIoStream& stream) {
  sockaddr_storage peer{};
  kj::uint size = sizeof(peer);
  std::array<char, NI_MAXHOST> text{};
  const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions(
      [&] { stream.getpeername(reinterpret_cast<sockaddr*>(&peer), &size); });
  if (failure != nullptr ||
      getnameinfo(reinterpret_cast<const sockaddr*>(&peer), size, text.data(),
                  text.size(), nullptr, 0, NI_NUMERICHOST) != 0) {
    return {};
  }
  return text.data();
}

}  // namespace

struct MeshListener::Connection {
  Connection(kj::Own<CountingStream> stream_in,
             std::shared_ptr<PeerSession> session_in)
      : stream(kj::mv(stream_in)),
        session(std::move(session_in)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, ReaderLimits()),
        rpc(capnp::makeRpcServer(network, kj::heap<GateServer>(session))) {}

  kj::Own<CountingStream> stream;
  std::shared_ptr<PeerSession> session;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  bool closed = false;
  PendingHandshakes::Place handshake{};  ///< held until authenticated
  kj::Promise<void> disconnect_watch = kj::NEVER_DONE;
};

MeshListener::MeshListener(Options options,
                           kj::Own<kj::ConnectionReceiver> listener,
                           kj::Timer& timer, TransportCounters& counters)
    : options_(std::move(options)),
      listener_(kj::mv(listener)),
      timer_(timer),
      counters_(counters),
      tasks_(*this) {
  AcceptNext();
  ScheduleCleanup();
}

MeshListener::~MeshListener() noexcept(false) = default;

unsigned MeshListener::port() { return listener_->getPort(); }

void MeshListener::AcceptNext() {
  tasks_.add(listener_->accept().then([this](auto stream) {
    AddConnection(kj::mv(stream));
    AcceptNext();
  }));
}

void MeshListener::AddConnection(kj::Own<kj::AsyncIoStream> stream) {
  const std::string address = PeerAddress(*stream);
  auto session = std::make_shared<PeerSession>(
      PeerSession{.key = options_.key,
                  .counters = counters_,
                  .timer = timer_,
                  .on_message = options_.on_message,
                  .last_used = timer_.now()});
  auto connection = std::make_shared<Connection>(
      kj::heap<CountingStream>(kj::mv(stream), counters_.bytes),
      std::move(session));
  Connection& added = *connection;
  added.session->admit = [this, &added] { return AdmitHost(added); };
  added.stream->LimitReceived(options_.max_handshake_bytes, [this] {
    counters_.too_long.fetch_add(1, std::memory_order_relaxed);
    OnLimit(MeshLimit::kHandshakeTooLong);
  });
  WatchDisconnect(added);
  connections_.push_back(std::move(connection));
  handshakes_.SetPlaces(PendingHandshakes::PlacesBeside(
      CountHosts(), options_.max_connections, options_.max_pending_handshakes));
  added.handshake =
      handshakes_.Take(address, [this, &added] { Displace(added); });
}

bool MeshListener::AdmitHost(Connection& connection) {
  if (CountHosts() >= options_.max_connections) {
    OnLimit(MeshLimit::kConnectionsRefused);
    return false;
  }
  connection.handshake = {};
  connection.stream->LiftReceiveLimit();
  return true;
}

void MeshListener::Displace(const Connection& connection) {
  counters_.displaced.fetch_add(1, std::memory_order_relaxed);
  OnLimit(MeshLimit::kHandshakeDisplaced);
  std::erase_if(connections_, [&](const std::shared_ptr<Connection>& open) {
    return open.get() == &connection;
  });
}

std::size_t MeshListener::CountHosts() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      connections_, [](const std::shared_ptr<Connection>& connection) {
        return connection->session->authenticated;
      }));
}

void MeshListener::OnLimit(MeshLimit limit) const {
  if (options_.on_limit) options_.on_limit(limit);
}

void MeshListener::WatchDisconnect(Connection& watched) {
  watched.disconnect_watch = watched.network.onDisconnect()
                                 .then([&watched] { watched.closed = true; })
                                 .eagerlyEvaluate([&watched](kj::Exception&&) {
                                   watched.closed = true;
                                 });
}

void MeshListener::ScheduleCleanup() {
  tasks_.add(timer_.afterDelay(kCleanupPeriod).then([this] {
    CleanUpConnections();
    ScheduleCleanup();
  }));
}

void MeshListener::CleanUpConnections() {
  const kj::TimePoint now = timer_.now();
  connections_.remove_if([&](const std::shared_ptr<Connection>& connection) {
    const PeerSession& session = *connection->session;
    const kj::Duration limit = session.authenticated
                                   ? options_.idle_timeout
                                   : options_.handshake_timeout;
    const bool should_close = connection->closed || session.refused ||
                              now - session.last_used > limit;
    // A client that disconnects without authenticating has rejected the server
    // proof because its mesh key is different.
    if (should_close && !session.authenticated && !session.refused)
      counters_.refused.fetch_add(1, std::memory_order_relaxed);
    return should_close;
  });
}

void MeshListener::taskFailed(kj::Exception&&) {
  // Accepting failed, for example because of too many open file descriptors.
  // Retry after a delay.
  tasks_.add(timer_.afterDelay(kCleanupPeriod).then([this] { AcceptNext(); }));
}

}  // namespace camphor

#include "mesh/incoming_gate.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include <utility>

#include "mesh/handshake.h"
#include "mesh/mesh.capnp.h"
#include "mesh/wire_message.h"

namespace camphor {
namespace {

constexpr std::uint64_t kLargestMessageWords = 1024 * 1024;  // 8 MB
constexpr kj::Duration kSweepPeriod = 1 * kj::SECONDS;

kj::ArrayPtr<const kj::byte> AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// What the RPC objects of one connection share.
struct Admission {
  const std::string& key;
  TransportCounters& counters;
  kj::Timer& timer;
  const std::function<void(const Endpoint&, MeshMessage)>& on_message;
  bool admitted = false;
  bool refused = false;
  kj::TimePoint last_used;
  HandshakeTerms terms{};
  Endpoint peer{};
};

class InboxServer final : public wire::Inbox::Server {
 public:
  explicit InboxServer(std::shared_ptr<Admission> admission)
      : admission_(std::move(admission)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    admission_->last_used = admission_->timer.now();
    for (auto wire : context.getParams().getMessages()) {
      // A malformed message is counted and passed over; the rest still counts.
      const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
        admission_->on_message(admission_->peer, ReadWireMessage(wire));
      });
      if (failure != nullptr)
        admission_->counters.malformed.fetch_add(1, std::memory_order_relaxed);
    }
    context.releaseParams();
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<Admission> admission_;
};

class GateServer final : public wire::Gate::Server {
 public:
  explicit GateServer(std::shared_ptr<Admission> admission)
      : admission_(std::move(admission)) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    const auto params = context.getParams();
    const std::string name = params.getEndpoint().cStr();
    const std::optional<Endpoint> peer = Endpoint::Parse(name);
    const bool acceptable =
        params.getProtocolVersion() == kMeshProtocolVersion && peer &&
        params.getNonce().size() == kNonceBytes &&
        admission_->terms.server_nonce.empty();
    if (!acceptable) Refuse("another protocol version or a bad challenge");
    admission_->peer = *peer;
    admission_->terms = {.client_endpoint = name,
                         .client_nonce = ToString(params.getNonce()),
                         .server_nonce = MakeNonce()};
    const std::string proof = ServerProof(admission_->key, admission_->terms);
    auto results = context.getResults();
    results.setProtocolVersion(kMeshProtocolVersion);
    results.setNonce(AsData(admission_->terms.server_nonce));
    results.setProof(AsData(proof));
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext context) override {
    const bool genuine =
        !admission_->terms.server_nonce.empty() &&
        ProofsEqual(ToString(context.getParams().getProof()),
                    ClientProof(admission_->key, admission_->terms));
    if (!genuine) Refuse("the mesh key is wrong");
    admission_->admitted = true;
    context.getResults().setInbox(kj::heap<InboxServer>(admission_));
    return kj::READY_NOW;
  }

 private:
  [[noreturn]] void Refuse(const char* reason) {
    admission_->refused = true;
    admission_->counters.refused.fetch_add(1, std::memory_order_relaxed);
    kj::throwFatalException(KJ_EXCEPTION(FAILED, reason));
  }

  std::shared_ptr<Admission> admission_;
};

capnp::ReaderOptions BoundedReader() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kLargestMessageWords;
  return options;
}

}  // namespace

struct IncomingGate::Connection {
  Connection(kj::Own<CountingStream> stream_in,
             std::shared_ptr<Admission> admission_in)
      : stream(kj::mv(stream_in)),
        admission(std::move(admission_in)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, BoundedReader()),
        rpc(capnp::makeRpcServer(network, kj::heap<GateServer>(admission))) {}

  kj::Own<CountingStream> stream;
  std::shared_ptr<Admission> admission;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  bool closed = false;
  kj::Promise<void> watch = kj::NEVER_DONE;
};

IncomingGate::IncomingGate(Options options,
                           kj::Own<kj::ConnectionReceiver> listener,
                           kj::Timer& timer, TransportCounters& counters)
    : options_(std::move(options)),
      listener_(kj::mv(listener)),
      timer_(timer),
      counters_(counters),
      tasks_(*this) {
  AcceptNext();
  SweepLater();
}

IncomingGate::~IncomingGate() noexcept(false) = default;

unsigned IncomingGate::port() { return listener_->getPort(); }

void IncomingGate::AcceptNext() {
  tasks_.add(listener_->accept().then([this](auto stream) {
    Admit(kj::mv(stream));
    AcceptNext();
  }));
}

void IncomingGate::Admit(kj::Own<kj::AsyncIoStream> stream) {
  if (connections_.size() >= options_.most_connections) {
    counters_.refused.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  auto admission =
      std::make_shared<Admission>(Admission{.key = options_.key,
                                            .counters = counters_,
                                            .timer = timer_,
                                            .on_message = options_.on_message,
                                            .last_used = timer_.now()});
  auto connection = std::make_shared<Connection>(
      kj::heap<CountingStream>(kj::mv(stream), counters_.bytes),
      std::move(admission));
  Watch(*connection);
  connections_.push_back(std::move(connection));
}

void IncomingGate::Watch(Connection& watched) {
  watched.watch = watched.network.onDisconnect()
                      .then([&watched] { watched.closed = true; })
                      .eagerlyEvaluate([&watched](kj::Exception&&) {
                        watched.closed = true;
                      });
}

void IncomingGate::SweepLater() {
  tasks_.add(timer_.afterDelay(kSweepPeriod).then([this] {
    Sweep();
    SweepLater();
  }));
}

void IncomingGate::Sweep() {
  const kj::TimePoint now = timer_.now();
  connections_.remove_if([&](const std::shared_ptr<Connection>& connection) {
    const Admission& admission = *connection->admission;
    const kj::Duration limit =
        admission.admitted ? options_.idle_timeout : options_.handshake_timeout;
    const bool over = connection->closed || admission.refused ||
                      now - admission.last_used > limit;
    // A client that leaves at our proof has another key.
    if (over && !admission.admitted && !admission.refused)
      counters_.refused.fetch_add(1, std::memory_order_relaxed);
    return over;
  });
}

void IncomingGate::taskFailed(kj::Exception&&) {
  // Accepting failed, for example for want of descriptors: try again later.
  tasks_.add(timer_.afterDelay(kSweepPeriod).then([this] { AcceptNext(); }));
}

}  // namespace camphor

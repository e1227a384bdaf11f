#include "mesh/mesh_transport.h"

#include <kj/async-io.h>
#include <kj/debug.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>
#include <utility>

#include "core/base/bounded_ring.h"
#include "mesh/mesh_listener.h"
#include "mesh/peer_channel.h"
#include "mesh/transport_counters.h"

namespace camphor {
namespace {

// Neighbours exchange messages every few seconds. Connections that are idle for
// longer were opened to join the mesh or for a single request.
constexpr kj::Duration kPeerIdleTimeout = 15 * kj::SECONDS;
constexpr kj::Duration kIdleCheckPeriod = 5 * kj::SECONDS;

struct OutgoingMessage {
  Endpoint to{};
  std::shared_ptr<const MeshMessage> message{};
};
using OutgoingMessagePtr = std::shared_ptr<OutgoingMessage>;

}  // namespace

struct MeshTransport::State {
  explicit State(Options options_in)
      : options(std::move(options_in)),
        wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
        ring({.name = "mesh_out",
              .capacity = options.ring_capacity,
              .wake = [this] { Wake(); }}) {}
  ~State() { close(wake_fd); }

  void Wake() const {
    const std::uint64_t one = 1;
    // Fails only if the counter is at its maximum, and then the thread has a
    // pending wake-up already.
    [[maybe_unused]] const ssize_t written = write(wake_fd, &one, sizeof(one));
  }

  void Run(std::promise<std::string>& started);
  void Serve(kj::AsyncIoContext& io);
  void SendQueued(kj::AsyncIoContext& io);
  PeerChannel& GetOrCreatePeer(const Endpoint& endpoint,
                               kj::AsyncIoContext& io);
  void CloseIdlePeers(kj::Timer& timer);

  Options options;
  int wake_fd;
  BoundedRing<OutgoingMessagePtr> ring;
  std::atomic<bool> stopping{false};
  std::string last_reason{};
  Endpoint listen_endpoint{};
  Endpoint advertised_endpoint{};
  TransportCounters counters{};
  std::map<Endpoint, kj::Own<PeerChannel>> peers{};
  kj::TimePoint next_idle_check = kj::origin<kj::TimePoint>();
  std::thread thread{};
};

void MeshTransport::State::Run(std::promise<std::string>& started) {
  bool start_reported = false;
  const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    auto address =
        io.provider->getNetwork()
            .parseAddress(options.listen.address.c_str(), options.listen.port)
            .wait(io.waitScope);
    MeshListener listener(
        {.key = options.key,
         .max_connections = options.max_connections,
         .max_pending_handshakes = options.max_pending_handshakes,
         .max_handshake_bytes = options.max_handshake_bytes,
         .on_message = options.on_message,
         .on_limit = options.on_limit},
        address->listen(), io.provider->getTimer(), counters);
    listen_endpoint = {.address = options.listen.address,
                       .port = static_cast<std::uint16_t>(listener.port())};
    advertised_endpoint =
        options.advertise.port == 0 ? listen_endpoint : options.advertise;
    start_reported = true;
    started.set_value({});
    Serve(io);
    peers.clear();
  });
  KJ_IF_MAYBE (exception, failure) {
    if (!start_reported) started.set_value(exception->getDescription().cStr());
  }
}

void MeshTransport::State::Serve(kj::AsyncIoContext& io) {
  auto wake_stream = io.lowLevelProvider->wrapInputFd(
      wake_fd, kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                   kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  while (!stopping) {
    std::uint64_t count = 0;
    wake_stream->read(&count, sizeof(count)).wait(io.waitScope);
    SendQueued(io);
  }
}

void MeshTransport::State::SendQueued(kj::AsyncIoContext& io) {
  while (std::optional<OutgoingMessagePtr> next = ring.Pop()) {
    const Endpoint& to = (*next)->to;
    if (!peers.contains(to) && peers.size() >= options.max_connections) {
      counters.dropped.fetch_add(1, std::memory_order_relaxed);
      continue;
    }
    GetOrCreatePeer(to, io).Send((*next)->message);
  }
  CloseIdlePeers(io.provider->getTimer());
}

PeerChannel& MeshTransport::State::GetOrCreatePeer(const Endpoint& endpoint,
                                                   kj::AsyncIoContext& io) {
  kj::Own<PeerChannel>& peer = peers[endpoint];
  if (peer.get() == nullptr) {
    const auto seed = static_cast<std::uint32_t>(std::hash<std::string>()(
        advertised_endpoint.ToString() + endpoint.ToString()));
    peer = kj::heap<PeerChannel>(
        PeerChannel::Options{.self = advertised_endpoint,
                             .peer = endpoint,
                             .key = options.key,
                             .random_seed = seed,
                             .on_connection_state =
                                 [this, endpoint](bool connected) {
                                   options.on_peer_state(endpoint, connected);
                                 }},
        io.provider->getNetwork(), io.provider->getTimer(), counters);
  }
  return *peer;
}

void MeshTransport::State::CloseIdlePeers(kj::Timer& timer) {
  if (timer.now() < next_idle_check) return;
  next_idle_check = timer.now() + kIdleCheckPeriod;
  std::erase_if(peers, [&](const auto& entry) {
    return entry.second->IdleSince(timer.now() - kPeerIdleTimeout);
  });
}

MeshTransport::MeshTransport(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

MeshTransport::~MeshTransport() { Stop(); }

bool MeshTransport::Start() {
  std::promise<std::string> started;
  std::future<std::string> answer = started.get_future();
  state_->thread = std::thread(
      [this, promise = std::move(started)]() mutable { state_->Run(promise); });
  state_->last_reason = answer.get();
  return state_->last_reason.empty();
}

void MeshTransport::Stop() {
  if (!state_->thread.joinable()) return;
  state_->stopping = true;
  state_->Wake();
  state_->thread.join();
}

bool MeshTransport::Send(const Endpoint& to, const MeshMessage& message) {
  return state_->ring.Push(std::make_shared<OutgoingMessage>(OutgoingMessage{
      .to = to, .message = std::make_shared<MeshMessage>(message)}));
}

Endpoint MeshTransport::listen_endpoint() const {
  return state_->listen_endpoint;
}

std::size_t MeshTransport::ring_depth() const { return state_->ring.depth(); }

std::uint64_t MeshTransport::ring_refused() const {
  return state_->ring.refused();
}

MeshTransport::Counters MeshTransport::counters() const {
  const TransportCounters& counters = state_->counters;
  const std::lock_guard<std::mutex> lock(counters.mutex);
  return {.bytes_sent = counters.bytes.sent,
          .bytes_received = counters.bytes.received,
          .handshakes_refused = counters.refused,
          .handshakes_displaced = counters.displaced,
          .handshakes_too_long = counters.too_long,
          .messages_dropped = counters.dropped,
          .messages_malformed = counters.malformed,
          .bytes_by_purpose = counters.by_purpose};
}

const std::string& MeshTransport::last_reason() const {
  return state_->last_reason;
}

}  // namespace camphor

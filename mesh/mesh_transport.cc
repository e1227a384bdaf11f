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
#include "mesh/incoming_gate.h"
#include "mesh/outgoing_peer.h"
#include "mesh/transport_counters.h"

namespace camphor {
namespace {

// Neighbours hear from each other every few seconds; what is idle longer was
// opened to join or to ask once.
constexpr kj::Duration kIdlePeer = 15 * kj::SECONDS;
constexpr kj::Duration kIdleCheckPeriod = 5 * kj::SECONDS;

struct Outgoing {
  Endpoint to{};
  std::shared_ptr<const MeshMessage> message{};
};
using OutgoingPtr = std::shared_ptr<Outgoing>;

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
    // It fails only when the counter is full, and then the thread wakes anyway.
    [[maybe_unused]] const ssize_t written = write(wake_fd, &one, sizeof(one));
  }

  void Run(std::promise<std::string>& started);
  void Serve(kj::AsyncIoContext& io);
  void Drain(kj::AsyncIoContext& io);
  OutgoingPeer& PeerOf(const Endpoint& endpoint, kj::AsyncIoContext& io);
  void CloseIdle(kj::Timer& timer);

  Options options;
  int wake_fd;
  BoundedRing<OutgoingPtr> ring;
  std::atomic<bool> stopping{false};
  std::string last_reason{};
  Endpoint listening{};
  Endpoint name{};  // towards peers
  TransportCounters counters{};
  std::map<Endpoint, kj::Own<OutgoingPeer>> peers{};
  kj::TimePoint next_idle_check = kj::origin<kj::TimePoint>();
  std::thread thread{};
};

void MeshTransport::State::Run(std::promise<std::string>& started) {
  bool told = false;
  const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    auto address =
        io.provider->getNetwork()
            .parseAddress(options.listen.address.c_str(), options.listen.port)
            .wait(io.waitScope);
    IncomingGate gate({.key = options.key,
                       .most_connections = options.most_connections,
                       .on_message = options.on_message},
                      address->listen(), io.provider->getTimer(), counters);
    listening = {.address = options.listen.address,
                 .port = static_cast<std::uint16_t>(gate.port())};
    name = options.advertise.port == 0 ? listening : options.advertise;
    told = true;
    started.set_value({});
    Serve(io);
    peers.clear();
  });
  KJ_IF_MAYBE (exception, failure) {
    if (!told) started.set_value(exception->getDescription().cStr());
  }
}

void MeshTransport::State::Serve(kj::AsyncIoContext& io) {
  auto wakes = io.lowLevelProvider->wrapInputFd(
      wake_fd, kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                   kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  while (!stopping) {
    std::uint64_t count = 0;
    wakes->read(&count, sizeof(count)).wait(io.waitScope);
    Drain(io);
  }
}

void MeshTransport::State::Drain(kj::AsyncIoContext& io) {
  while (std::optional<OutgoingPtr> next = ring.Pop()) {
    const Endpoint& to = (*next)->to;
    if (!peers.contains(to) && peers.size() >= options.most_connections) {
      counters.dropped.fetch_add(1, std::memory_order_relaxed);
      continue;
    }
    PeerOf(to, io).Send((*next)->message);
  }
  CloseIdle(io.provider->getTimer());
}

OutgoingPeer& MeshTransport::State::PeerOf(const Endpoint& endpoint,
                                           kj::AsyncIoContext& io) {
  kj::Own<OutgoingPeer>& peer = peers[endpoint];
  if (peer.get() == nullptr) {
    const auto seed = static_cast<std::uint32_t>(
        std::hash<std::string>()(name.ToString() + endpoint.ToString()));
    peer = kj::heap<OutgoingPeer>(
        OutgoingPeer::Options{.self = name,
                              .peer = endpoint,
                              .key = options.key,
                              .random_seed = seed,
                              .on_state =
                                  [this, endpoint](bool connected) {
                                    options.on_peer_state(endpoint, connected);
                                  }},
        io.provider->getNetwork(), io.provider->getTimer(), counters);
  }
  return *peer;
}

void MeshTransport::State::CloseIdle(kj::Timer& timer) {
  if (timer.now() < next_idle_check) return;
  next_idle_check = timer.now() + kIdleCheckPeriod;
  std::erase_if(peers, [&](const auto& entry) {
    return entry.second->IdleSince(timer.now() - kIdlePeer);
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
  return state_->ring.Push(std::make_shared<Outgoing>(
      Outgoing{.to = to, .message = std::make_shared<MeshMessage>(message)}));
}

Endpoint MeshTransport::listen_endpoint() const { return state_->listening; }

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
          .messages_dropped = counters.dropped,
          .messages_malformed = counters.malformed,
          .bytes_by_purpose = counters.by_purpose};
}

const std::string& MeshTransport::last_reason() const {
  return state_->last_reason;
}

}  // namespace camphor

#include "proxy/proxy_server.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/asio_types.h"
#include "proxy/caller_session.h"
#include "proxy/forward_session.h"
#include "proxy/host_pools.h"
#include "proxy/load/accept_loop.h"
#include "proxy/load/loop_monitor.h"
#include "proxy/local_targets.h"
#include "proxy/proxy_context.h"

namespace camphor {
namespace {

constexpr Seconds kMaintenanceInterval{1};
/// A thread without a turn for this long takes no connections.
constexpr Seconds kMaxLoopGap{2};

MonoTime Now() { return std::chrono::steady_clock::now(); }

asio::awaitable<void> RunSession(std::shared_ptr<HttpSession> session) {
  co_await session->Run();
}

}  // namespace

struct ProxyServer::State {
  explicit State(Options options)
      : context(std::move(options)),
        caller_acceptor(*context.io),
        forward_acceptor(*context.io),
        maintenance(*context.io),
        monitor(caller_acceptor, forward_acceptor,
                {.on_load = context.options.on_load}),
        caller_accepts(AcceptOptions<CallerSession>(caller_acceptor)),
        forward_accepts(AcceptOptions<ForwardSession>(forward_acceptor)) {}

  bool Listen(tcp::acceptor& acceptor, const Endpoint& endpoint,
              std::string_view what);
  template <typename Session>
  AcceptLoop::Options AcceptOptions(tcp::acceptor& acceptor);
  template <typename Session>
  void Serve(tcp::socket socket);
  asio::awaitable<void> Maintain();
  void CloseAll();
  boost::json::object Dump();

  ProxyContext context;
  tcp::acceptor caller_acceptor;
  tcp::acceptor forward_acceptor;
  asio::steady_timer maintenance;
  LoopMonitor monitor;
  AcceptLoop caller_accepts;
  AcceptLoop forward_accepts;
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      work;
  std::thread thread;
  std::mutex posting;
  bool takes_posts = false;  ///< guarded by posting; the thread runs what is
                             ///< posted while this is true
  Endpoint caller_endpoint;
  Endpoint forward_endpoint;
  std::string last_reason;
};

bool ProxyServer::State::Listen(tcp::acceptor& acceptor,
                                const Endpoint& endpoint,
                                std::string_view what) {
  beast::error_code error;
  const std::optional<tcp::endpoint> address = ToTcpEndpoint(endpoint);
  if (!address) {
    last_reason =
        fmt::format("{}: {} is not an IP address", what, endpoint.address);
    return false;
  }
  acceptor.open(address->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(*address, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (!error) acceptor.non_blocking(true, error);
  if (!error) return true;
  last_reason =
      fmt::format("{}: {}: {}", what, endpoint.ToString(), error.message());
  acceptor.close(error);
  return false;
}

template <typename Session>
AcceptLoop::Options ProxyServer::State::AcceptOptions(tcp::acceptor& acceptor) {
  return {.acceptor = &acceptor,
          .serve =
              [this](tcp::socket socket) { Serve<Session>(std::move(socket)); },
          .refuse =
              [this](tcp::socket socket) {
                context.OnLimit(ProxyLimit::kOverloaded);
                Session::Refuse(context, std::move(socket));
              },
          .on_accepted =
              [this, &acceptor](tcp::socket& socket, bool abandoned) {
                monitor.OnAccepted(acceptor, socket, abandoned);
              },
          .on_no_descriptors =
              [this] {
                context.buffers.YieldConnection(
                    static_cast<std::uint32_t>(Session::kGroup), Now());
              }};
}

template <typename Session>
void ProxyServer::State::Serve(tcp::socket socket) {
  if (context.stopping) return;
  if (!Session::HasPlace(context, Now()))
    return context.OnLimit(ProxyLimit::kConnectionsRefused);
  auto session = std::make_shared<Session>(context, std::move(socket));
  if (!session->Admit()) return context.OnLimit(ProxyLimit::kBuffersRefused);
  asio::co_spawn(*context.io, RunSession(std::move(session)), asio::detached);
}

asio::awaitable<void> ProxyServer::State::Maintain() {
  while (!context.stopping) {
    context.targets->Maintain();
    context.hosts->Maintain();
    maintenance.expires_after(kMaintenanceInterval);
    co_await maintenance.async_wait(kAsTuple);
  }
}

void ProxyServer::State::CloseAll() {
  {
    const std::scoped_lock lock(posting);
    takes_posts = false;
  }
  context.stopping = true;
  beast::error_code ignored;
  caller_acceptor.close(ignored);
  forward_acceptor.close(ignored);
  maintenance.cancel();
  monitor.Stop();
  // Closing a session can remove it from the set, so iterate over a copy.
  const std::vector<ProxySession*> sessions(context.sessions.begin(),
                                            context.sessions.end());
  for (ProxySession* session : sessions) session->Close();
  context.targets->Close();
  context.hosts->Close();
  work.reset();
}

boost::json::object ProxyServer::State::Dump() {
  boost::json::object targets;
  const MonoTime now = std::chrono::steady_clock::now();
  for (const auto& [id, target] : context.targets->targets()) {
    const ColdTargetLimit& cold = std::as_const(*target).cold_limit();
    const Milliseconds cold_for =
        cold.per_second().has_value()
            ? std::chrono::duration_cast<Milliseconds>(now - cold.cold_since())
            : Milliseconds(0);
    targets[id.value()] = {
        {"cold_limit", cold.per_second().value_or(0)},
        {"cold_for_ms", cold_for.count()},
        {"running", target->gate().running()},
        {"waiting", target->gate().waiting()},
        {"request_limit", target->statement().request_limit.value_or(0)},
        {"said_leaving", target->statement().leaving},
        {"connections", target->pool()->open()},
        {"idle_connections", target->pool()->idle()}};
  }
  boost::json::object hosts;
  for (const auto& [endpoint, pool] : context.hosts->pools()) {
    hosts[endpoint.ToString()] = {{"connections", pool->open()},
                                  {"idle_connections", pool->idle()}};
  }
  boost::json::object balancing;
  for (const auto& [id, stats] : context.balancer.stats()) {
    balancing[id.value()] = {{"in_flight", stats.in_flight},
                             {"slowness", stats.slowness},
                             {"failure_rate", stats.failure_rate},
                             {"relative_service", stats.relative_service},
                             {"reported_service_us", stats.reported_service_us},
                             {"reported_load", stats.reported_load},
                             {"full", stats.full_until > now},
                             {"ejected", stats.ejected_until > now},
                             {"cold_share", stats.cold_per_second},
                             {"returned", stats.returned}};
  }
  return {{"in_flight", context.in_flight.load()},
          {"draining", context.draining},
          {"domain_evacuated", context.targets->IsEvacuated()},
          {"caller_connections", context.caller_sessions},
          {"forward_connections", context.forward_sessions},
          {"pending_handshakes", context.handshakes.size()},
          {"buffered_response_bytes", context.buffered_response_bytes},
          {"buffer_bytes", context.buffers.used()},
          {"buffer_bytes_at_most", context.buffers.total()},
          {"retries_saved_at_most", context.retries.max_tokens()},
          {"local_targets", std::move(targets)},
          {"hosts", std::move(hosts)},
          {"balancing", std::move(balancing)}};
}

ProxyServer::ProxyServer(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

ProxyServer::~ProxyServer() { Stop(); }

bool ProxyServer::Start() {
  State& state = *state_;
  const Options& options = state.context.options;
  if (!state.Listen(state.caller_acceptor, options.caller_listen,
                    "caller_listen") ||
      !state.Listen(state.forward_acceptor, options.forward_listen,
                    "forward_listen")) {
    return false;
  }
  state.caller_endpoint =
      FromTcpEndpoint(state.caller_acceptor.local_endpoint());
  state.forward_endpoint =
      FromTcpEndpoint(state.forward_acceptor.local_endpoint());
  state.work.emplace(state.context.io->get_executor());
  asio::co_spawn(*state.context.io, state.caller_accepts.Run(), asio::detached);
  asio::co_spawn(*state.context.io, state.forward_accepts.Run(),
                 asio::detached);
  asio::co_spawn(*state.context.io, state.Maintain(), asio::detached);
  asio::co_spawn(*state.context.io, state.monitor.Run(), asio::detached);
  state.takes_posts = true;
  state.thread = std::thread([&state] { state.context.io->run(); });
  return true;
}

void ProxyServer::BeginDrain() {
  asio::post(*state_->context.io, [state = state_.get()] {
    state->context.draining = true;
    beast::error_code ignored;
    state->caller_acceptor.close(ignored);
    // Keep-alive connections stay open because a request may be in transit;
    // each is closed with its next response.
  });
}

void ProxyServer::SetStopTime(MonoTime stop_time) {
  asio::post(*state_->context.io, [state = state_.get(), stop_time] {
    state->context.stop_time = stop_time;
  });
}

std::uint64_t ProxyServer::in_flight() const {
  return state_->context.in_flight.load();
}

void ProxyServer::Stop() {
  if (!state_->thread.joinable()) return;
  asio::post(*state_->context.io,
             [state = state_.get()] { state->CloseAll(); });
  state_->thread.join();
}

bool ProxyServer::StopIfIdle() {
  if (!state_->thread.joinable()) return true;
  std::promise<bool> stopped;
  std::future<bool> idle = stopped.get_future();
  asio::post(*state_->context.io, [state = state_.get(), &stopped] {
    const bool none = state->context.in_flight == 0;
    if (none) state->CloseAll();
    stopped.set_value(none);
  });
  if (!idle.get()) return false;
  state_->thread.join();
  return true;
}

bool ProxyServer::IsResponsive() const {
  return Now() - state_->monitor.measured_at() < kMaxLoopGap;
}

Endpoint ProxyServer::caller_endpoint() const {
  return state_->caller_endpoint;
}

Endpoint ProxyServer::forward_endpoint() const {
  return state_->forward_endpoint;
}

std::string ProxyServer::DumpJson() const {
  std::promise<std::string> dumped;
  std::future<std::string> text = dumped.get_future();
  {
    // Once the server closes, its thread ends without running what is posted.
    const std::scoped_lock lock(state_->posting);
    if (!state_->takes_posts) return "{}";
    asio::post(*state_->context.io, [this, &dumped] {
      dumped.set_value(boost::json::serialize(state_->Dump()));
    });
  }
  return text.get();
}

bool ProxyServer::Preview(
    PreviewRequest request,
    std::function<void(const PlacementPreview&)> done) const {
  const std::scoped_lock lock(state_->posting);
  if (!state_->takes_posts) return false;
  asio::post(*state_->context.io,
             [state = state_.get(), request = std::move(request),
              done = std::move(done)] {
               done(PreviewPlacement(state->context, request, Now()));
             });
  return true;
}

std::string ProxyServer::MetricsText() const {
  return state_->context.metrics.Text() + state_->monitor.Text();
}

const std::string& ProxyServer::last_reason() const {
  return state_->last_reason;
}

}  // namespace camphor

#include "performance_test/request_path/silent_relay.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <set>
#include <thread>
#include <utility>

#include "proxy/asio_types.h"

namespace camphor {
namespace {

struct Link {
  Link(tcp::socket accepted, asio::io_context& io)
      : downstream(std::move(accepted)), upstream(io) {}
  tcp::socket downstream;
  tcp::socket upstream;
  bool silent = false;
};

asio::awaitable<void> Forward(std::shared_ptr<Link> link, tcp::socket& from,
                              tcp::socket& to) {
  std::array<char, 16384> chunk{};
  while (true) {
    auto [error, size] =
        co_await from.async_read_some(asio::buffer(chunk), kAsTuple);
    // A silent connection drops all data and does not propagate a close.
    if (link->silent) {
      if (error) co_return;
      continue;
    }
    if (error) break;
    auto [write_error, written] = co_await asio::async_write(
        to, asio::buffer(chunk.data(), size), kAsTuple);
    if (write_error) break;
  }
  beast::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace

struct SilentRelay::State {
  explicit State(const Endpoint& endpoint)
      : to(*ToTcpEndpoint(endpoint)),
        acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}) {}

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Link> link);

  asio::io_context io{1};
  tcp::endpoint to;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<Link>> links;
  std::thread thread;
};

asio::awaitable<void> SilentRelay::State::Accept() {
  while (acceptor.is_open()) {
    auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
    if (error) continue;
    auto link = std::make_shared<Link>(std::move(socket), io);
    links.insert(link);
    asio::co_spawn(io, Serve(std::move(link)), asio::detached);
  }
}

asio::awaitable<void> SilentRelay::State::Serve(std::shared_ptr<Link> link) {
  auto [error] = co_await link->upstream.async_connect(to, kAsTuple);
  if (!error) {
    beast::error_code ignored;
    link->downstream.set_option(tcp::no_delay(true), ignored);
    link->upstream.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(io, Forward(link, link->upstream, link->downstream),
                   asio::detached);
    co_await Forward(link, link->downstream, link->upstream);
  }
  links.erase(link);
}

SilentRelay::SilentRelay(const Endpoint& to)
    : state_(std::make_unique<State>(to)) {
  asio::co_spawn(state_->io, state_->Accept(), asio::detached);
  state_->thread = std::thread([state = state_.get()] { state->io.run(); });
}

SilentRelay::~SilentRelay() {
  asio::post(state_->io, [state = state_.get()] { state->io.stop(); });
  state_->thread.join();
}

Endpoint SilentRelay::endpoint() const {
  return FromTcpEndpoint(state_->acceptor.local_endpoint());
}

std::size_t SilentRelay::Silence() {
  std::promise<std::size_t> silenced;
  asio::post(state_->io, [this, &silenced] {
    for (const auto& link : state_->links) link->silent = true;
    silenced.set_value(state_->links.size());
  });
  return silenced.get_future().get();
}

}  // namespace camphor

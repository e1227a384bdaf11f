#include "proxy/load/accept_loop.h"

#include <boost/asio/post.hpp>
#include <cassert>
#include <chrono>
#include <utility>

#include "proxy/load/socket_state.h"

namespace camphor {
namespace {

constexpr Milliseconds kAcceptRetryDelay{20};

MonoTime Now() { return std::chrono::steady_clock::now(); }

}  // namespace

AcceptLoop::AcceptLoop(Options options)
    : options_(std::move(options)), limit_(options_.batch) {
  assert(options_.acceptor != nullptr && options_.serve && options_.refuse);
}

asio::awaitable<void> AcceptLoop::Run() {
  while (options_.acceptor->is_open()) {
    beast::error_code error;
    if (pending_.empty()) error = co_await AcceptFirst();
    if (!error) error = AcceptWaiting();
    const MonoTime begin = Now();
    ServeSome();
    co_await AwaitTurn(begin);
    if (error) co_await Pause(error);
  }
  ServeAll();
}

asio::awaitable<beast::error_code> AcceptLoop::AcceptFirst() {
  auto [error, socket] = co_await options_.acceptor->async_accept(kAsTuple);
  if (!error) Add(std::move(socket));
  co_return error;
}

beast::error_code AcceptLoop::AcceptWaiting() {
  // A flood must not stop the other sockets of the thread.
  const MonoTime end = Now() + options_.batch.longest_turn / 2;
  while (options_.acceptor->is_open() && Now() < end) {
    beast::error_code error;
    tcp::socket socket = options_.acceptor->accept(error);
    if (error == asio::error::would_block) break;
    if (error) return error;
    Add(std::move(socket));
  }
  return {};
}

asio::awaitable<void> AcceptLoop::Pause(beast::error_code error) {
  if (!options_.acceptor->is_open()) co_return;
  if (error == asio::error::no_descriptors && options_.on_no_descriptors)
    options_.on_no_descriptors();
  asio::steady_timer pause(options_.acceptor->get_executor(),
                           kAcceptRetryDelay);
  co_await pause.async_wait(kAsTuple);
}

asio::awaitable<void> AcceptLoop::AwaitTurn(MonoTime begin) {
  co_await asio::post(options_.acceptor->get_executor(), asio::use_awaitable);
  limit_.OnTurn(std::chrono::duration_cast<Microseconds>(Now() - begin));
}

void AcceptLoop::Add(tcp::socket socket) {
  const bool abandoned = IsClosedByPeer(socket.native_handle());
  if (options_.on_accepted) options_.on_accepted(socket, abandoned);
  if (abandoned && options_.closes_abandoned) return;
  if (pending_.size() >= options_.most_pending) RefuseOldest();
  pending_.push_back({std::move(socket), Now()});
}

void AcceptLoop::RefuseOldest() {
  options_.refuse(std::move(pending_.front().socket));
  pending_.pop_front();
}

void AcceptLoop::ServeSome() {
  for (unsigned begun = 0; begun < limit_.limit() && !pending_.empty();) {
    tcp::socket socket = TakeNext();
    if (options_.closes_abandoned && IsClosedByPeer(socket.native_handle()))
      continue;
    options_.serve(std::move(socket));
    ++begun;
  }
  const MonoTime oldest = Now() - options_.longest_wait;
  const MonoTime end = Now() + options_.batch.longest_turn / 2;
  while (!pending_.empty() && pending_.front().accepted <= oldest &&
         Now() < end)
    RefuseOldest();
}

tcp::socket AcceptLoop::TakeNext() {
  const bool newest = limit_.is_behind();
  tcp::socket socket =
      std::move(newest ? pending_.back().socket : pending_.front().socket);
  if (newest) {
    pending_.pop_back();
  } else {
    pending_.pop_front();
  }
  return socket;
}

void AcceptLoop::ServeAll() {
  for (Pending& pending : pending_) options_.serve(std::move(pending.socket));
  pending_.clear();
}

}  // namespace camphor

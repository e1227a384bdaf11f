#include "proxy/inbound_body.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

#include "proxy/read_error.h"

namespace camphor {

InboundBody::InboundBody(Options options)
    : options_(std::move(options)), charge_(*options_.account) {
  assert(options_.socket && options_.buffer && options_.parser &&
         options_.progress && options_.read_stop);
  complete_ = options_.parser->is_done();
}

asio::awaitable<bool> InboundBody::Prefetch(std::size_t limit) {
  constexpr std::size_t kChunkBytes = 4096;
  if (complete_) SetComplete();
  while (!complete_ && prefix_.size() < limit) {
    const std::size_t kept = prefix_.size();
    const std::size_t room = std::min(kChunkBytes, limit - kept);
    if (!charge_.Resize(kept + room, std::chrono::steady_clock::now())) {
      out_of_buffers_ = true;
      co_return false;
    }
    prefix_.resize(kept + room);
    const std::optional<std::size_t> read =
        co_await ReadSome(std::span(prefix_).subspan(kept, room));
    prefix_.resize(kept + read.value_or(0));
    consumed_ = false;
    if (!read) co_return false;
  }
  co_return true;
}

asio::awaitable<std::optional<std::size_t>> InboundBody::ReadSome(
    std::span<char> chunk) {
  RequestParser& parser = *options_.parser;
  std::size_t size = 0;
  while (size == 0 && !parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    options_.progress->Set(options_.stall_limit);
    auto [error, bytes] = co_await http::async_read_some(
        *options_.socket, *options_.buffer, parser,
        asio::bind_cancellation_slot(options_.read_stop->slot(), kAsTuple));
    options_.progress->Clear();
    options_.account->OnProgress(bytes);
    size = chunk.size() - parser.get().body().size;
    if (error == http::error::need_buffer) error = {};
    too_long_ = error == http::error::body_limit;
    sender_left_ = IsDisconnect(error);
    malformed_ = IsHttpError(error) && !sender_left_ && !too_long_;
    if (error) co_return std::nullopt;
  }
  if (size > 0) consumed_ = true;
  if (parser.is_done()) SetComplete();
  co_return size;
}

std::optional<std::uint64_t> InboundBody::length() const {
  const auto length = options_.parser->content_length();
  if (!length) return std::nullopt;
  return *length;
}

void InboundBody::StopRead() {
  options_.read_stop->emit(asio::cancellation_type::terminal);
}

void InboundBody::SetComplete() {
  complete_ = true;
  if (options_.on_complete) std::exchange(options_.on_complete, nullptr)();
}

}  // namespace camphor

#include "proxy/exchange.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cassert>
#include <limits>
#include <span>
#include <utility>

#include "proxy/header_rules.h"

namespace camphor {
namespace {

constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::uint32_t kAnswerHeaderBytes = 64 * 1024;
constexpr std::size_t kDiscardedBytes = 4096;

}  // namespace

Exchange::Exchange(Options options)
    : options_(std::move(options)),
      pump_ended_(options_.connection->socket.get_executor()) {
  assert(options_.connection && options_.control && options_.body);
}

asio::awaitable<Exchange::Sent> Exchange::Send(http::request_header<> header) {
  const RequestControl::Scope scope(*options_.control,
                                    [this] { options_.connection->Close(); });
  if (options_.control->stopped() != RequestControl::Stop::kNone) {
    co_return Sent::kNothing;
  }
  head_ = header.method() == http::verb::head;
  if (options_.vocabulary != nullptr &&
      !options_.vocabulary->request_id.empty()) {
    request_id_ = HeaderValue(header, options_.vocabulary->request_id);
  }
  request_.emplace(std::move(header));
  const bool sent = co_await SendHeader();
  if (!sent)
    co_return bytes_sent_ == 0 ? Sent::kNothing : Failure(Sent::kBroken);
  if (!request_whole_ && !body_held_back_) StartPump();
  const Sent result = co_await ReadAnswerHeader();
  co_return result;
}

asio::awaitable<bool> Exchange::SendHeader() {
  const InboundBody& body = *options_.body;
  request_->version(11);
  request_->erase(http::field::content_length);
  const std::string& prefix = body.prefix();
  const bool whole = body.prefix_is_whole();
  if (whole) {
    if (!prefix.empty() || body.length()) {
      request_->content_length(prefix.size());
    }
  } else if (const auto length = body.length()) {
    request_->content_length(*length);
  } else {
    request_->chunked(true);
  }

  body_held_back_ = !whole && options_.await_continue;
  prefix_held_back_ = body_held_back_;
  if (body_held_back_) request_->set(http::field::expect, "100-continue");
  serializer_.emplace(*request_);
  if (body_held_back_) {
    auto [error, bytes] = co_await http::async_write_header(
        options_.connection->socket, *serializer_, kAsTuple);
    bytes_sent_ += bytes;
    co_return !error;
  }
  http::buffer_body::value_type& out = request_->body();
  out.data = prefix.empty() ? nullptr : const_cast<char*>(prefix.data());
  out.size = prefix.size();
  out.more = !whole;
  auto [error, bytes] = co_await http::async_write(options_.connection->socket,
                                                   *serializer_, kAsTuple);
  bytes_sent_ += bytes;
  request_whole_ = whole;
  co_return !error || error == http::error::need_buffer;
}

asio::awaitable<Exchange::Sent> Exchange::ReadAnswerHeader() {
  Connection& connection = *options_.connection;
  ProgressTimer silence(connection.socket.get_executor(), [this] {
    silent_ = true;
    options_.connection->Close();
  });
  ProgressTimer abandon(connection.socket.get_executor(), [this] {
    // A sign of life shows that the request is only slow.
    if (heard_ || !options_.may_abandon || !options_.may_abandon()) return;
    abandoned_ = true;
    options_.connection->Close();
  });
  if (options_.abandon_after.count() > 0) abandon.Set(options_.abandon_after);

  while (true) {
    answer_.emplace();
    answer_->header_limit(kAnswerHeaderBytes);
    answer_->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (head_) answer_->skip(true);
    if (options_.silence.count() > 0) silence.Set(options_.silence);
    auto [error, bytes] = co_await http::async_read_header(
        connection.socket, connection.buffer, *answer_, kAsTuple);
    if (error) {
      const bool malformed =
          error.category() ==
              http::make_error_code(http::error::end_of_stream).category() &&
          error != http::error::end_of_stream &&
          error != http::error::partial_message;
      co_return Failure(malformed ? Sent::kBadAnswer : Sent::kBroken);
    }
    // Interim answers are signs of life, or ask for the body.
    const unsigned status = answer_->get().result_int();
    if (status == 100 && body_held_back_) {
      body_held_back_ = false;
      StartPump();
    }
    heard_ = true;
    if (status < 200 && status != 101) continue;
    if (!IsForeign()) break;
    const bool skipped = co_await SkipForeignAnswer();
    if (!skipped) co_return Failure(Sent::kBroken);
  }
  if (LacksRequestId() || FindFaultOfAnswer(*answer_, options_.vocabulary))
    co_return Sent::kBadAnswer;
  answer_whole_ = answer_->is_done();
  co_return Sent::kAnswer;
}

bool Exchange::LacksRequestId() const {
  if (request_id_.empty()) return false;
  return answer_->get().result_int() / 100 == 2 &&
         HeaderValue(answer_->get(), options_.vocabulary->request_id).empty();
}

bool Exchange::IsForeign() const {
  if (request_id_.empty()) return false;
  const std::string_view id =
      HeaderValue(answer_->get(), options_.vocabulary->request_id);
  return !id.empty() && id != request_id_;
}

asio::awaitable<bool> Exchange::SkipForeignAnswer() {
  // The target answered an earlier request once more: the own answer follows.
  met_foreign_ = true;
  std::array<char, kDiscardedBytes> piece{};
  while (!answer_->is_done()) {
    answer_->get().body().data = piece.data();
    answer_->get().body().size = piece.size();
    auto [error, bytes] = co_await http::async_read_some(
        options_.connection->socket, options_.connection->buffer, *answer_,
        kAsTuple);
    if (error && error != http::error::need_buffer) co_return false;
  }
  co_return true;
}

Exchange::Sent Exchange::Failure(Sent otherwise) const {
  if (options_.control->stopped() != RequestControl::Stop::kNone) {
    return Sent::kStopped;
  }
  if (silent_) return Sent::kSilent;
  if (abandoned_) return Sent::kAbandoned;
  return otherwise;
}

void Exchange::StartPump() {
  pumping_ = true;
  pump_ended_.expires_at(MonoTime::max());
  asio::co_spawn(options_.connection->socket.get_executor(), PumpBody(),
                 asio::detached);
}

asio::awaitable<void> Exchange::PumpBody() {
  InboundBody& body = *options_.body;
  http::buffer_body::value_type& out = request_->body();
  pump_buffer_ = std::make_unique<char[]>(kPieceBytes);

  // A body that was held back begins with what was kept of it.
  bool failed = false;
  if (prefix_held_back_ && !body.prefix().empty()) {
    out.data = const_cast<char*>(body.prefix().data());
    out.size = body.prefix().size();
    out.more = true;
    auto [error, bytes] = co_await http::async_write(
        options_.connection->socket, *serializer_, kAsTuple);
    failed = error && error != http::error::need_buffer;
  }
  while (!failed && !request_whole_) {
    const std::span<char> piece(pump_buffer_.get(), kPieceBytes);
    const std::optional<std::size_t> read = co_await body.ReadSome(piece);
    if (!read) {
      // A caller that breaks off in its request does not wait for an answer.
      if (!answer_whole_) {
        options_.control->StopNow(RequestControl::Stop::kCallerGone);
      }
      break;
    }
    out.data = *read == 0 ? nullptr : piece.data();
    out.size = *read;
    out.more = !body.whole();
    auto [error, bytes] = co_await http::async_write(
        options_.connection->socket, *serializer_, kAsTuple);
    failed = error && error != http::error::need_buffer;
    request_whole_ = !failed && body.whole();
  }
  pumping_ = false;
  pump_ended_.cancel();
}

asio::awaitable<Exchange::Relayed> Exchange::Relay(
    http::response_header<> header, Receiver receiver) {
  const RequestControl::Scope scope(*options_.control,
                                    [this] { options_.connection->Close(); });
  Connection& connection = *options_.connection;
  http::response<http::buffer_body> out(std::move(header));
  out.version(11);
  out.erase(http::field::content_length);
  const bool bodiless = answer_->is_done();
  if (const auto length = answer_->content_length()) {
    out.content_length(*length);
  } else if ((answer_->chunked() || answer_->need_eof()) && !bodiless) {
    out.chunked(true);
  } else if (!head_ && out.result_int() != 204 && out.result_int() != 304) {
    out.content_length(0);
  }
  http::response_serializer<http::buffer_body> serializer(out);
  const auto piece = std::make_unique<char[]>(kPieceBytes);

  bool done = bodiless;
  do {
    std::size_t size = 0;
    while (size == 0 && !answer_->is_done()) {
      answer_->get().body().data = piece.get();
      answer_->get().body().size = kPieceBytes;
      auto [error, bytes] = co_await http::async_read_some(
          connection.socket, connection.buffer, *answer_, kAsTuple);
      size = kPieceBytes - answer_->get().body().size;
      if (error == http::error::need_buffer) error = {};
      if (error) {
        const bool stopped =
            options_.control->stopped() != RequestControl::Stop::kNone;
        co_return stopped ? Relayed::kStopped : Relayed::kCut;
      }
    }
    done = answer_->is_done();
    out.body().data = size == 0 ? nullptr : piece.get();
    out.body().size = size;
    out.body().more = !done;
    receiver.progress->Set(receiver.stall_limit);
    auto [error, bytes] =
        co_await http::async_write(*receiver.socket, serializer, kAsTuple);
    receiver.progress->Clear();
    if (error && error != http::error::need_buffer) co_return Relayed::kLost;
  } while (!done);
  answer_whole_ = true;
  co_return Relayed::kWhole;
}

asio::awaitable<bool> Exchange::Discard() {
  const RequestControl::Scope scope(*options_.control,
                                    [this] { options_.connection->Close(); });
  std::array<char, kDiscardedBytes> piece{};
  std::size_t total = 0;
  while (!answer_->is_done() && total < kDiscardedBytes) {
    answer_->get().body().data = piece.data();
    answer_->get().body().size = piece.size();
    auto [error, bytes] = co_await http::async_read_some(
        options_.connection->socket, options_.connection->buffer, *answer_,
        kAsTuple);
    total += bytes;
    if (error && error != http::error::need_buffer) co_return false;
  }
  answer_whole_ = answer_->is_done();
  co_return answer_whole_;
}

asio::awaitable<void> Exchange::Join() {
  if (!pumping_) co_return;
  options_.connection->Close();
  options_.body->CancelRead();
  // The pump ends by its pending step, whichever that is.
  while (pumping_) co_await pump_ended_.async_wait(kAsTuple);
}

bool Exchange::reusable() const {
  return !met_foreign_ && request_whole_ && answer_whole_ && answer_ &&
         answer_->keep_alive() && options_.connection->socket.is_open();
}

}  // namespace camphor

#include "proxy/exchange.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <cassert>
#include <limits>
#include <span>
#include <utility>
#include <vector>

#include "proxy/header_rules.h"

namespace camphor {
namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
constexpr std::size_t kMaxDiscardedBytes = 4096;

// Limits on what is skipped before the response: interim responses, and the
// body of a response to another request.
constexpr std::uint32_t kMaxInterimResponses = 1000;
constexpr std::size_t kMaxSkippedBytes = 1024 * 1024;
/// Each chunk of a chunked body takes a read of its own.
constexpr std::uint32_t kMaxSkippedReads = 16 * 1024;

/// The parser takes any three digits for a status.
constexpr unsigned kMinStatus = 100;

/// Writes what a serializer has to write now: until the message is complete or
/// it needs more of the body.
asio::awaitable<beast::error_code> WriteAvailable(
    http::response_serializer<http::buffer_body>& serializer,
    const Exchange::Receiver& receiver) {
  std::vector<asio::const_buffer> parts;
  while (!serializer.is_done()) {
    parts.clear();
    beast::error_code error;
    serializer.next(error, [&parts](beast::error_code&, const auto& buffers) {
      for (const asio::const_buffer part : beast::buffers_range_ref(buffers))
        parts.push_back(part);
    });
    if (error == http::error::need_buffer) break;
    if (error) co_return error;
    error = co_await receiver(parts);
    if (error) co_return error;
    serializer.consume(beast::buffer_bytes(parts));
  }
  co_return beast::error_code{};
}

}  // namespace

Exchange::Exchange(Options options)
    : options_(std::move(options)),
      pump_ended_(options_.connection->socket.get_executor()) {
  assert(options_.connection && options_.control && options_.body);
}

asio::awaitable<Exchange::SendResult> Exchange::Send(
    http::request_header<> header) {
  const RequestControl::Scope scope(*options_.control,
                                    [this] { options_.connection->Close(); });
  if (options_.control->StopIfSenderLeft()) co_return SendResult::kNotSent;
  is_head_request_ = header.method() == http::verb::head;
  if (options_.vocabulary != nullptr &&
      !options_.vocabulary->request_id.empty()) {
    request_id_ = HeaderValue(header, options_.vocabulary->request_id);
  }
  request_.emplace(std::move(header));
  const bool sent = co_await SendHeader();
  if (!sent)
    co_return bytes_sent_ == 0 ? SendResult::kNotSent
                               : Failure(SendResult::kConnectionBroken);
  if (!request_complete_ && !body_held_back_) StartPump();
  const SendResult result = co_await ReadResponseHeader();
  co_return result;
}

asio::awaitable<bool> Exchange::SendHeader() {
  const InboundBody& body = *options_.body;
  request_->version(11);
  request_->erase(http::field::content_length);
  const std::string& prefix = body.prefix();
  const bool complete = body.prefix_is_complete();
  if (complete) {
    if (!prefix.empty() || body.length()) {
      request_->content_length(prefix.size());
    }
  } else if (const auto length = body.length()) {
    request_->content_length(*length);
  } else {
    request_->chunked(true);
  }

  body_held_back_ = !complete && options_.await_continue;
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
  out.more = !complete;
  auto [error, bytes] = co_await http::async_write(options_.connection->socket,
                                                   *serializer_, kAsTuple);
  bytes_sent_ += bytes;
  request_complete_ = complete;
  co_return !error || error == http::error::need_buffer;
}

asio::awaitable<Exchange::SendResult> Exchange::ReadResponseHeader() {
  Connection& connection = *options_.connection;
  ProgressTimer silence_timer(connection.socket.get_executor(), [this] {
    silence_timed_out_ = true;
    options_.connection->Close();
  });
  ProgressTimer abandon(connection.socket.get_executor(), [this] {
    // An interim response shows that the request is only slow.
    if (received_header_ || !options_.may_abandon || !options_.may_abandon())
      return;
    abandoned_ = true;
    options_.connection->Close();
  });
  if (options_.abandon_after.count() > 0) abandon.Set(options_.abandon_after);

  std::uint32_t interim_responses = 0;
  while (true) {
    response_.emplace();
    response_->header_limit(kMaxResponseHeaderBytes);
    response_->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (is_head_request_) response_->skip(true);
    if (options_.silence_timeout.count() > 0)
      silence_timer.Set(options_.silence_timeout);
    auto [error, bytes] = co_await http::async_read_header(
        connection.socket, connection.buffer, *response_, kAsTuple);
    if (error) {
      const bool malformed =
          error.category() ==
              http::make_error_code(http::error::end_of_stream).category() &&
          error != http::error::end_of_stream &&
          error != http::error::partial_message;
      co_return Failure(malformed ? SendResult::kBadAnswer
                                  : SendResult::kConnectionBroken);
    }
    // Interim responses are heartbeats, or ask for the body (100 Continue).
    const unsigned status = response_->get().result_int();
    if (status == 100 && body_held_back_) {
      if (options_.control->StopIfSenderLeft()) co_return SendResult::kStopped;
      body_held_back_ = false;
      StartPump();
    }
    if (status < kMinStatus) co_return SendResult::kBadAnswer;
    received_header_ = true;
    if (status < 200 && status != 101) {
      if (++interim_responses <= kMaxInterimResponses) continue;
      co_return SendResult::kBadAnswer;
    }
    if (!IsResponseToOtherRequest()) break;
    const bool skipped = co_await SkipMismatchedResponse();
    if (!skipped) co_return Failure(SendResult::kConnectionBroken);
  }
  if (IsRequestIdMissing() ||
      FindResponseHeaderError(*response_, options_.vocabulary))
    co_return SendResult::kBadAnswer;
  response_started_ = true;
  response_complete_ = response_->is_done();
  co_return SendResult::kResponse;
}

bool Exchange::IsRequestIdMissing() const {
  if (request_id_.empty()) return false;
  return response_->get().result_int() / 100 == 2 &&
         HeaderValue(response_->get(), options_.vocabulary->request_id).empty();
}

bool Exchange::IsResponseToOtherRequest() const {
  if (request_id_.empty()) return false;
  const std::string_view id =
      HeaderValue(response_->get(), options_.vocabulary->request_id);
  return !id.empty() && id != request_id_;
}

asio::awaitable<bool> Exchange::SkipMismatchedResponse() {
  // The target repeated the response to an earlier request; the response to
  // this one follows.
  skipped_mismatched_response_ = true;
  std::array<char, kMaxDiscardedBytes> chunk{};
  std::size_t total = 0;
  std::uint32_t reads = 0;
  while (!response_->is_done()) {
    if (total > kMaxSkippedBytes || ++reads > kMaxSkippedReads) co_return false;
    std::size_t size = 0;
    const beast::error_code error = co_await ReadBodySome(chunk, size);
    if (error) co_return false;
    total += size;
  }
  co_return true;
}

asio::awaitable<beast::error_code> Exchange::ReadBodySome(std::span<char> chunk,
                                                          std::size_t& size) {
  response_->get().body().data = chunk.data();
  response_->get().body().size = chunk.size();
  auto [error, bytes] = co_await http::async_read_some(
      options_.connection->socket, options_.connection->buffer, *response_,
      kAsTuple);
  size = chunk.size() - response_->get().body().size;
  if (error == http::error::need_buffer) error = {};
  if (!error && response_->is_done() && response_->need_eof() && WasReset())
    error = asio::error::connection_reset;
  co_return error;
}

bool Exchange::WasReset() const {
  // A write that runs beside a read may take the socket's error. The read then
  // sees a plain end, but the socket is no longer connected.
  if (pump_failed_) return true;
  beast::error_code error;
  static_cast<void>(options_.connection->socket.remote_endpoint(error));
  return error == asio::error::not_connected;
}

Exchange::SendResult Exchange::Failure(SendResult otherwise) const {
  if (options_.control->stopped() != RequestControl::Stop::kNone) {
    return SendResult::kStopped;
  }
  if (silence_timed_out_) return SendResult::kSilenceTimeout;
  if (abandoned_) return SendResult::kAbandoned;
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
  pump_buffer_ = std::make_unique<char[]>(kChunkBytes);

  // A held-back body starts with the buffered prefix.
  bool failed = false;
  if (prefix_held_back_ && !body.prefix().empty()) {
    out.data = const_cast<char*>(body.prefix().data());
    out.size = body.prefix().size();
    out.more = true;
    auto [error, bytes] = co_await http::async_write(
        options_.connection->socket, *serializer_, kAsTuple);
    failed = error && error != http::error::need_buffer;
  }
  while (!failed && !request_complete_) {
    const std::span<char> chunk(pump_buffer_.get(), kChunkBytes);
    const std::optional<std::size_t> read = co_await body.ReadSome(chunk);
    if (!read) {
      // A caller that disconnects while sending does not wait for a response.
      // One that only stalls may still read a response that has started.
      if (!response_complete_ && (body.sender_left() || !response_started_)) {
        options_.control->StopNow(RequestControl::Stop::kCallerGone);
      }
      break;
    }
    out.data = *read == 0 ? nullptr : chunk.data();
    out.size = *read;
    out.more = !body.complete();
    auto [error, bytes] = co_await http::async_write(
        options_.connection->socket, *serializer_, kAsTuple);
    failed = error && error != http::error::need_buffer;
    request_complete_ = !failed && body.complete();
  }
  pump_failed_ = failed;
  pumping_ = false;
  pump_ended_.cancel();
}

asio::awaitable<bool> Exchange::ReadSmallBody() {
  const RequestControl::Scope scope(*options_.control,
                                    [this] { options_.connection->Close(); });
  const auto length = response_->content_length();
  if (response_->is_done() || !length || *length > kChunkBytes) co_return true;
  small_body_.resize(static_cast<std::size_t>(*length));
  std::size_t size = 0;
  while (!response_->is_done()) {
    std::size_t read = 0;
    const beast::error_code error =
        co_await ReadBodySome(std::span(small_body_).subspan(size), read);
    if (error) co_return false;
    size += read;
  }
  co_return true;
}

asio::awaitable<Exchange::RelayResult> Exchange::Relay(
    http::response_header<> header, Receiver receiver) {
  const RequestControl::Scope scope(*options_.control,
                                    [this] { options_.connection->Close(); });
  http::response<http::buffer_body> out(std::move(header));
  out.version(11);
  out.erase(http::field::content_length);
  const bool bodiless = response_->is_done() && small_body_.empty();
  if (const auto length = response_->content_length()) {
    out.content_length(*length);
  } else if ((response_->chunked() || response_->need_eof()) && !bodiless) {
    out.chunked(true);
  } else if (!is_head_request_ && out.result_int() != 204 &&
             out.result_int() != 304) {
    out.content_length(0);
  }
  http::response_serializer<http::buffer_body> serializer(out);
  const auto chunk = std::make_unique<char[]>(kChunkBytes);

  bool done = bodiless;
  do {
    char* data = chunk.get();
    std::size_t size = small_body_.size();
    if (size > 0) data = small_body_.data();
    while (size == 0 && !response_->is_done()) {
      const beast::error_code error =
          co_await ReadBodySome({chunk.get(), kChunkBytes}, size);
      if (error) {
        const bool stopped =
            options_.control->stopped() != RequestControl::Stop::kNone;
        co_return stopped ? RelayResult::kStopped : RelayResult::kTruncated;
      }
    }
    done = response_->is_done();
    out.body().data = size == 0 ? nullptr : data;
    out.body().size = size;
    out.body().more = !done;
    const beast::error_code error =
        co_await WriteAvailable(serializer, receiver);
    if (error) co_return RelayResult::kReceiverLost;
  } while (!done);
  response_complete_ = true;
  co_return RelayResult::kComplete;
}

asio::awaitable<void> Exchange::FinishBody() {
  // Another host announces a close whenever a body is still to come, but reads
  // on for as long as its target does.
  const bool peer_reads_on =
      options_.vocabulary == nullptr || response_->keep_alive();
  if (!pumping_ || !peer_reads_on) co_return;
  const RequestControl::Scope scope(*options_.control, [this] {
    options_.connection->Close();
    options_.body->StopRead();
  });
  while (pumping_) co_await pump_ended_.async_wait(kAsTuple);
}

asio::awaitable<bool> Exchange::Discard() {
  const RequestControl::Scope scope(*options_.control,
                                    [this] { options_.connection->Close(); });
  std::array<char, kMaxDiscardedBytes> chunk{};
  std::size_t total = 0;
  while (!response_->is_done() && total < kMaxDiscardedBytes) {
    std::size_t size = 0;
    const beast::error_code error = co_await ReadBodySome(chunk, size);
    if (error) co_return false;
    total += size;
  }
  response_complete_ = response_->is_done();
  co_return response_complete_;
}

asio::awaitable<void> Exchange::Join() {
  if (!pumping_) co_return;
  options_.connection->Close();
  options_.body->StopRead();
  // Closing the sockets ends the pump's pending operation, whichever it is.
  while (pumping_) co_await pump_ended_.async_wait(kAsTuple);
}

bool Exchange::reusable() const {
  return !skipped_mismatched_response_ && request_complete_ &&
         response_complete_ && response_ && response_->keep_alive() &&
         options_.connection->socket.is_open();
}

}  // namespace camphor

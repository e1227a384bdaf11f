#include "proxy/http_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <iterator>
#include <limits>
#include <string>
#include <utility>

#include "proxy/header_names.h"
#include "proxy/load/socket_state.h"
#include "proxy/read_error.h"

namespace camphor {
namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr Milliseconds kBodyWatchPeriod{100};
constexpr std::size_t kMaxDrainedBytes = 64 * kReadBytes;

/// What a session needs besides the buffers for its requests: its object, the
/// frames of its coroutines, its timers and a first read.
constexpr std::uint64_t kSessionBytes = 8 * 1024;
/// What the library allocates for each header field besides its text.
constexpr std::uint64_t kFieldBytes = 96;
/// Bytes of a header after which its fields are counted again.
constexpr std::size_t kAccountingStep = 1024;

MonoTime Now() { return std::chrono::steady_clock::now(); }

}  // namespace

HttpSession::HttpSession(ProxyContext& context, tcp::socket socket,
                         SessionGroup group)
    : context_(context),
      socket_(std::move(socket)),
      account_(
          {.budget = &context.buffers,
           .group = static_cast<std::uint32_t>(group),
           .may_yield = [this] { return MayYield(); },
           .yield = [this](BufferAccount::Yield reason) { OnYield(reason); }}),
      body_watch_(socket_.get_executor(), [this] { CheckBodySender(); }),
      read_progress_(
          socket_.get_executor(),
          [this] {
            // Only reading stops, so that responses can still be written.
            stalled_ = true;
            if (!idle_)
              context_.metrics.Count(ProxyMetrics::Counter::kSlowCallers);
            StopReading();
          }),
      write_progress_(socket_.get_executor(), [this] {
        context_.metrics.Count(ProxyMetrics::Counter::kSlowCallers);
        beast::error_code ignored;
        socket_.cancel(ignored);
      }) {
  beast::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  context_.sessions.insert(this);
}

HttpSession::~HttpSession() { context_.sessions.erase(this); }

bool HttpSession::Admit() {
  account_.BeginHold(Now());
  return account_.Grow(kSessionBytes, Now());
}

bool HttpSession::MayYield() const {
  return write_progress_.pending() || (read_progress_.pending() && IsIdle());
}

void HttpSession::OnYield(BufferAccount::Yield reason) {
  const bool place = reason == BufferAccount::Yield::kPlace;
  context_.OnLimit(place ? ProxyLimit::kConnectionsYielded
                         : ProxyLimit::kBuffersYielded);
  // A request that is being received can still be refused. A place must become
  // free at once.
  if (place || idle_ || write_progress_.pending() || !IsIdle()) {
    Close();
  } else {
    StopReading();
  }
}

asio::awaitable<void> HttpSession::Run() {
  const auto self = shared_from_this();
  bool more = true;
  while (more && !context_.stopping && !reading_ended_) {
    more = co_await AwaitRequest();
    if (more && !reading_ended_) more = co_await ReadAndServe();
  }
  co_await AwaitResponses();
  co_await CloseGracefully();
  Close();
}

asio::awaitable<bool> HttpSession::AwaitRequest() {
  if (buffer_.size() > 0) co_return true;
  idle_ = true;
  // A header or body that needed a larger buffer is gone.
  if (buffer_.capacity() > kReadBytes) buffer_.shrink_to_fit();
  account_.BeginHold(Now());
  if (IsIdle()) read_progress_.Set(Limits().idle_timeout);
  auto [error, bytes] = co_await socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::bind_cancellation_slot(read_stop_.slot(), kAsTuple));
  read_progress_.Clear();
  idle_ = false;
  if (error) {
    if (IsDisconnect(error)) OnDisconnect();
    co_return false;
  }
  buffer_.commit(bytes);
  account_.OnProgress(bytes);
  co_return true;
}

asio::awaitable<beast::error_code> HttpSession::ReadHeader(
    RequestParser& parser) {
  std::size_t parsed = 0;
  std::size_t accounted = 0;
  while (true) {
    if (buffer_.size() > 0) {
      beast::error_code error;
      const std::size_t used = parser.put(buffer_.data(), error);
      buffer_.consume(used);
      parsed += used;
      if (error && error != http::error::need_more) co_return error;
      const bool done = parser.is_header_done();
      if (done || parsed - accounted >= kAccountingStep) {
        accounted = parsed;
        error = AccountHeader(parser, parsed);
        if (error) co_return error;
      }
      if (done) co_return beast::error_code{};
    }
    const std::size_t room =
        buffer_.max_size() - std::min(buffer_.size(), buffer_.max_size());
    if (room == 0) co_return http::error::buffer_overflow;
    const std::size_t capacity = buffer_.capacity();
    const auto space = buffer_.prepare(std::min(room, kReadBytes));
    if (buffer_.capacity() > capacity &&
        !head_charge_.Grow(buffer_.capacity() - capacity, Now()))
      co_return asio::error::no_memory;
    auto [error, bytes] = co_await socket_.async_read_some(
        space, asio::bind_cancellation_slot(read_stop_.slot(), kAsTuple));
    if (error == asio::error::eof) {
      co_return parser.got_some() ? http::error::partial_message
                                  : http::error::end_of_stream;
    }
    if (error) co_return error;
    buffer_.commit(bytes);
    account_.OnProgress(bytes);
  }
}

beast::error_code HttpSession::AccountHeader(const RequestParser& parser,
                                             std::size_t parsed) {
  const http::fields& fields = parser.get();
  const auto count =
      static_cast<std::uint64_t>(std::distance(fields.begin(), fields.end()));
  const std::uint32_t most = context_.options.limits.header_fields;
  if (most > 0 && count > most) {
    context_.OnLimit(ProxyLimit::kHeaderFields);
    return http::error::header_limit;
  }
  const std::uint64_t bytes = buffer_.capacity() + parsed + count * kFieldBytes;
  if (!head_charge_.Resize(bytes, Now())) return asio::error::no_memory;
  return {};
}

asio::awaitable<bool> HttpSession::ReadAndServe() {
  auto parser = std::make_unique<RequestParser>();
  const CallerLimits limits = Limits();
  parser->header_limit(limits.header_bytes);
  parser->body_limit(limits.body_bytes);
  idle_ = false;
  // Limits a chunk extension that does not end, too.
  buffer_.max_size(std::max(limits.header_bytes + kReadBytes, buffer_.size()));
  head_charge_ = BufferAccount::Charge(account_);
  account_.BeginHold(Now());
  read_progress_.Set(limits.header_timeout);
  const beast::error_code error = co_await ReadHeader(*parser);
  read_progress_.Clear();
  // A request read during shutdown cannot be answered.
  if (context_.stopping) co_return false;
  if (error) {
    co_await OnReadError(error);
    co_return false;
  }
  // A chunk extension or trailers must not grow the buffer further.
  buffer_.max_size(std::max(buffer_.capacity(), kReadBytes));
  ++context_.in_flight;
  const bool more = co_await Serve(std::move(parser));
  head_charge_ = {};
  FinishControl();
  --context_.in_flight;
  co_return more;
}

asio::awaitable<void> HttpSession::OnReadError(beast::error_code error) {
  if (account_.yielded() || error == asio::error::no_memory) {
    head_charge_ = {};
    if (!account_.yielded()) context_.OnLimit(ProxyLimit::kBuffersRefused);
    co_await WriteError({.error = ProxyError::kBuffersFull});
  } else if (stalled_) {
    co_await WriteError({.error = ProxyError::kSlowRequest});
  } else if (IsDisconnect(error)) {
    OnDisconnect();
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    context_.metrics.Count(ProxyMetrics::Counter::kBadRequests);
    co_await WriteError({.error = ProxyError::kHeaderTooLong});
  } else if (error == http::error::body_limit) {
    context_.metrics.Count(ProxyMetrics::Counter::kBadRequests);
    co_await WriteError({.error = ProxyError::kBodyTooLong});
  } else if (IsHttpError(error)) {
    context_.metrics.Count(ProxyMetrics::Counter::kBadRequests);
    const std::string message = error.message();
    co_await WriteError({.detail = message});
  }
}

asio::awaitable<void> HttpSession::CloseGracefully() {
  // Closing both directions at once could reset the connection and lose the
  // last response, so only sending is shut down until the peer has had time to
  // read.
  beast::error_code failed;
  socket_.shutdown(tcp::socket::shutdown_send, failed);
  if (failed || context_.stopping) co_return;
  idle_ = true;
  read_progress_.Set(context_.options.limits.connect_timeout);
  std::size_t drained = 0;
  while (drained < kMaxDrainedBytes) {
    buffer_.clear();
    auto [error, bytes] = co_await socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        asio::bind_cancellation_slot(read_stop_.slot(), kAsTuple));
    if (error) break;
    drained += bytes;
  }
  // Closing with unread bytes would reset the connection: a peer that goes on
  // sending gets the rest of the time too.
  if (drained >= kMaxDrainedBytes) {
    co_await socket_.async_wait(
        tcp::socket::wait_error,
        asio::bind_cancellation_slot(read_stop_.slot(), kAsTuple));
  }
  read_progress_.Clear();
}

void HttpSession::Close() {
  if (control_) control_->StopNow(RequestControl::Stop::kCallerGone);
  beast::error_code ignored;
  socket_.close(ignored);
}

void HttpSession::OnDisconnect() {
  if (control_) control_->StopNow(RequestControl::Stop::kCallerGone);
}

void HttpSession::StopReading() {
  reading_ended_ = true;
  read_stop_.emit(asio::cancellation_type::terminal);
}

void HttpSession::RestartIdleTimeout() {
  if (idle_) read_progress_.Set(Limits().idle_timeout);
}

CallerLimits HttpSession::Limits() {
  const ProxyLimits& limits = context_.options.limits;
  return {.header_bytes = limits.header_bytes,
          .body_bytes = std::numeric_limits<std::uint64_t>::max(),
          .header_timeout = limits.header_timeout,
          .idle_timeout = limits.keep_alive_timeout};
}

http::response<http::string_body> HttpSession::MakeError(
    const ErrorReply& reply) const {
  http::response<http::string_body> response = MakeErrorResponse(
      reply.error, {.sentence = reply.detail,
                    .retry_after = reply.retry_after.value_or(
                        context_.options.limits.retry_after),
                    .fractional_retry_after =
                        context_.options.vocabulary.fractional_retry_after});
  if (reply.load) response.set(kLoadHeader, reply.load->ToString());
  response.keep_alive(reply.keep);
  if (reply.head_request) response.body().clear();
  return response;
}

asio::awaitable<bool> HttpSession::WriteError(ErrorReply reply) {
  reply.keep = reply.keep && !context_.draining;
  const http::response<http::string_body> response = MakeError(reply);
  write_progress_.Set(context_.options.limits.body_timeout);
  auto [error, bytes] = co_await http::async_write(socket_, response, kAsTuple);
  write_progress_.Clear();
  co_return reply.keep && !error;
}

void HttpSession::WatchForDisconnect() {
  if (std::exchange(watching_, true)) return;
  std::weak_ptr<HttpSession> weak = weak_from_this();
  socket_.async_wait(
      tcp::socket::wait_read, [weak](const beast::error_code& error) {
        const auto self = weak.lock();
        if (!self) return;
        self->watching_ = false;
        if (error || !self->socket_.is_open()) return;
        char byte = 0;
        const ssize_t peeked = recv(self->socket_.native_handle(), &byte, 1,
                                    MSG_PEEK | MSG_DONTWAIT);
        // A pipelined request, or one that was read meanwhile, only ends the
        // watch.
        const bool nothing_to_read = peeked < 0 && errno == EAGAIN;
        if (peeked <= 0 && !nothing_to_read) self->OnDisconnect();
      });
}

bool HttpSession::IsPeerClosed() {
  return IsClosedByPeer(socket_.native_handle());
}

void HttpSession::WatchBodySender(const InboundBody& body) {
  watched_body_ = &body;
  body_watch_.Set(kBodyWatchPeriod);
}

void HttpSession::StopWatchingBody() {
  watched_body_ = nullptr;
  body_watch_.Clear();
}

void HttpSession::CheckBodySender() {
  // From its first read on, the reads detect a disconnect. A sender that closes
  // behind a whole body may have its response already.
  if (watched_body_ == nullptr || watched_body_->consumed() ||
      watched_body_->complete()) {
    return;
  }
  if (!socket_.is_open()) return;
  if (IsPeerClosed()) return OnDisconnect();
  body_watch_.Set(kBodyWatchPeriod);
}

RequestControl& HttpSession::StartControl(MonoTime deadline,
                                          Milliseconds deadline_grace) {
  control_ = std::make_shared<RequestControl>(
      socket_.get_executor(), deadline, [this] { return IsPeerClosed(); });
  control_->Start(deadline_grace);
  return *control_;
}

void HttpSession::FinishControl() {
  if (!control_) return;
  control_->Finish();
  control_.reset();
  beast::error_code ignored;
  socket_.cancel(ignored);  // stops watching for a disconnect
  watching_ = false;
}

Exchange::Receiver HttpSession::receiver() {
  return [this](std::span<const asio::const_buffer> bytes)
             -> asio::awaitable<beast::error_code> {
    write_progress_.Set(context_.options.limits.body_timeout);
    auto [error, size] = co_await asio::async_write(socket_, bytes, kAsTuple);
    write_progress_.Clear();
    account_.OnProgress(size);
    co_return error;
  };
}

}  // namespace camphor

#include "proxy/http_session.h"

#include <sys/socket.h>

#include <chrono>
#include <limits>
#include <utility>

namespace camphor {
namespace {

constexpr std::size_t kReadBytes = 4096;

}  // namespace

HttpSession::HttpSession(ProxyContext& context, tcp::socket socket)
    : context_(context),
      socket_(std::move(socket)),
      progress_(socket_.get_executor(), [this] {
        // Cancels the pending operation only, so that an error response can
        // still be written.
        stalled_ = true;
        if (!idle_) context_.metrics.Count(ProxyMetrics::Counter::kSlowCallers);
        beast::error_code ignored;
        socket_.cancel(ignored);
      }) {
  beast::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  context_.sessions.insert(this);
}

HttpSession::~HttpSession() { context_.sessions.erase(this); }

asio::awaitable<void> HttpSession::Run() {
  const auto self = shared_from_this();
  bool more = true;
  while (more && !context_.stopping) {
    more = co_await AwaitRequest();
    if (more) more = co_await ReadAndServe();
  }
  // Closing both directions at once could reset the connection and lose the
  // last response, so only sending is shut down until the peer has had time to
  // read.
  beast::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  if (!ignored && !context_.stopping) {
    idle_ = true;
    progress_.Set(context_.options.limits.connect_timeout);
    std::size_t drained = 0;
    while (drained < kReadBytes * 64) {
      buffer_.clear();
      auto [error, bytes] = co_await socket_.async_read_some(
          buffer_.prepare(kReadBytes), kAsTuple);
      if (error) break;
      drained += bytes;
    }
  }
  progress_.Clear();
  Close();
}

asio::awaitable<bool> HttpSession::AwaitRequest() {
  if (buffer_.size() > 0) co_return true;
  idle_ = true;
  progress_.Set(Limits().idle_timeout);
  auto [error, bytes] =
      co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAsTuple);
  if (error) co_return false;
  buffer_.commit(bytes);
  idle_ = false;
  co_return true;
}

asio::awaitable<bool> HttpSession::ReadAndServe() {
  RequestParser parser;
  const CallerLimits limits = Limits();
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  idle_ = false;
  progress_.Set(limits.header_timeout);
  auto [error, bytes] =
      co_await http::async_read_header(socket_, buffer_, parser, kAsTuple);
  progress_.Clear();
  // A request read during shutdown cannot be answered.
  if (context_.stopping) co_return false;
  if (!error) {
    ++context_.in_flight;
    const bool more = co_await Serve(parser);
    FinishControl();
    --context_.in_flight;
    co_return more;
  }
  if (stalled_) {
    co_await WriteError(ProxyError::kSlowRequest, false);
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    context_.metrics.Count(ProxyMetrics::Counter::kBadRequests);
    co_await WriteError(ProxyError::kHeaderTooLong, false);
  } else if (error == http::error::body_limit) {
    context_.metrics.Count(ProxyMetrics::Counter::kBadRequests);
    co_await WriteError(ProxyError::kBodyTooLong, false);
  } else if (error.category() ==
                 beast::error_code(http::error::bad_method).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    context_.metrics.Count(ProxyMetrics::Counter::kBadRequests);
    co_await WriteError(ProxyError::kBadRequest, false, error.message());
  }
  co_return false;
}

void HttpSession::Close() {
  if (control_) control_->StopNow(RequestControl::Stop::kCallerGone);
  beast::error_code ignored;
  socket_.close(ignored);
}

CallerLimits HttpSession::Limits() {
  const ProxyLimits& limits = context_.options.limits;
  return {.header_bytes = limits.header_bytes,
          .body_bytes = std::numeric_limits<std::uint64_t>::max(),
          .header_timeout = limits.header_timeout,
          .idle_timeout = limits.keep_alive_timeout};
}

asio::awaitable<bool> HttpSession::WriteError(ProxyError error, bool keep,
                                              std::string_view detail) {
  http::response<http::string_body> response = MakeErrorResponse(
      error, {.sentence = detail,
              .retry_after = context_.options.limits.retry_after,
              .fractional_retry_after =
                  context_.options.vocabulary.fractional_retry_after});
  const bool keeps = keep && !context_.draining;
  response.keep_alive(keeps);
  progress_.Set(context_.options.limits.body_timeout);
  auto [write_error, bytes] =
      co_await http::async_write(socket_, response, kAsTuple);
  progress_.Clear();
  co_return keeps && !write_error;
}

void HttpSession::WatchForDisconnect() {
  std::weak_ptr<HttpSession> weak = weak_from_this();
  std::weak_ptr<RequestControl> control = control_;
  socket_.async_wait(
      tcp::socket::wait_read, [weak, control](const beast::error_code& error) {
        const auto self = weak.lock();
        const auto request = control.lock();
        if (error || !self || !request || !self->socket_.is_open()) return;
        char byte = 0;
        const ssize_t peeked = recv(self->socket_.native_handle(), &byte, 1,
                                    MSG_PEEK | MSG_DONTWAIT);
        // A pipelined request only ends the watch.
        if (peeked <= 0) request->StopNow(RequestControl::Stop::kCallerGone);
      });
}

RequestControl& HttpSession::StartControl(MonoTime deadline,
                                          Milliseconds deadline_grace) {
  control_ = std::make_shared<RequestControl>(socket_.get_executor(), deadline);
  control_->Start(deadline_grace);
  return *control_;
}

void HttpSession::FinishControl() {
  if (!control_) return;
  control_->Finish();
  control_.reset();
  beast::error_code ignored;
  socket_.cancel(ignored);  // stops watching for a disconnect
}

Exchange::Receiver HttpSession::receiver() {
  return {.socket = &socket_,
          .progress = &progress_,
          .stall_limit = context_.options.limits.body_timeout};
}

}  // namespace camphor

#include "proxy/caller_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <sstream>
#include <string>
#include <utility>

#include "proxy/caller_request.h"
#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/inbound_body.h"
#include "proxy/request_check.h"

namespace camphor {
namespace {

using Counter = ProxyMetrics::Counter;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// Copies of the header that a running request keeps besides the received one:
/// as forwarded, as placed, and as sent.
constexpr std::uint64_t kHeaderCopies = 3;
/// Buffer for the response, and frames of the coroutines.
constexpr std::uint64_t kRunBytes = 24 * 1024;
/// Read of a request that is refused unseen. Closing with unread bytes would
/// reset the connection and could lose the response.
constexpr std::size_t kRefusedBytes = 16 * 1024;
/// Time in which a host that is behind may catch up.
constexpr Milliseconds kOverloadRetryAfter{250};
/// Buffer for a body that is streamed.
constexpr std::uint64_t kStreamBytes = 16 * 1024;

}  // namespace

// A request whose header was read, until its response is complete.
struct CallerSession::ReceivedRequest {
  const http::request_header<>& header() const { return parser->get(); }
  bool is_head() const { return header().method() == http::verb::head; }

  // Charges what a hedge of the request needs.
  bool ChargeHedge() {
    return charge.Grow(kHeaderCopies * header_bytes + kRunBytes,
                       std::chrono::steady_clock::now());
  }

  BufferAccount::Charge charge{};  ///< for the header and for running it
  std::uint64_t header_bytes = 0;  ///< charged for the header
  std::unique_ptr<RequestParser> parser{};
  MonoTime arrival{};
  bool keep = false;  ///< the caller requested keep-alive
  EffectiveRoutingPtr routing{};
  bool repeatable = false;                 ///< according to its route
  std::shared_ptr<const TeamSpec> team{};  ///< of the caller's key
  Milliseconds time_limit{0};              ///< of the caller and of the route
  std::shared_ptr<RequestControl> control{};
  std::optional<InboundBody> body{};
  ResponseSequencer::ResponsePtr response{};
  std::uint32_t responses_before = 0;
  std::string fault{};  ///< what is wrong with it
};

CallerSession::CallerSession(ProxyContext& context, tcp::socket socket)
    : HttpSession(context, std::move(socket), kGroup),
      responses_(
          {.executor = socket_.get_executor(),
           .write = receiver(),
           .max_buffered = context.options.limits.buffered_response_bytes,
           .max_buffered_by_proxy =
               context.options.limits.buffered_response_bytes_by_proxy,
           .buffered_by_proxy = &context.buffered_response_bytes,
           .account = &account_,
           .on_empty = [this] { RestartIdleTimeout(); }}) {
  ++context_.caller_sessions;
}

bool CallerSession::HasPlace(ProxyContext& context, MonoTime now) {
  return context.caller_sessions < context.options.limits.caller_connections ||
         context.buffers.YieldConnection(static_cast<std::uint32_t>(kGroup),
                                         now);
}

void CallerSession::Refuse(ProxyContext& context, tcp::socket socket) {
  std::array<char, kRefusedBytes> request;
  beast::error_code error;
  socket.non_blocking(true, error);
  const std::size_t received = socket.read_some(asio::buffer(request), error);
  if (error || received == 0) return;
  http::response<http::string_body> response = MakeErrorResponse(
      ProxyError::kOverloaded,
      {.retry_after =
           std::max(context.options.limits.retry_after, kOverloadRetryAfter),
       .fractional_retry_after =
           context.options.vocabulary.fractional_retry_after});
  response.keep_alive(false);
  const bool head_request =
      std::string_view(request.data(), received).starts_with("HEAD ");
  if (head_request) response.body().clear();
  std::ostringstream text;
  text << response;
  // A new connection takes a short response at once.
  socket.write_some(asio::buffer(text.str()), error);
  socket.shutdown(tcp::socket::shutdown_send, error);
}

CallerSession::~CallerSession() { --context_.caller_sessions; }

CallerLimits CallerSession::Limits() {
  // Limits from the operator's configuration override the process settings.
  const EffectiveRoutingPtr& routing = context_.Routing();
  const bool set = routing && routing->limits != CallerLimits{};
  return set ? routing->limits : HttpSession::Limits();
}

asio::awaitable<bool> CallerSession::Serve(
    std::unique_ptr<RequestParser> parser) {
  auto request = std::make_shared<ReceivedRequest>();
  request->parser = std::move(parser);
  request->charge = std::move(head_charge_);
  request->header_bytes = request->charge.bytes();
  request->arrival = std::chrono::steady_clock::now();
  request->keep = request->parser->keep_alive();
  context_.metrics.Count(Counter::kCallerRequests);
  if (closing_) co_return false;
  std::optional<ErrorReply> refusal = Examine(*request);
  if (refusal) {
    refusal->head_request = request->is_head();
    const bool more = co_await WriteError(*refusal);
    co_return more;
  }
  const bool read = co_await ReadBody(*request);
  if (!read) co_return false;
  const bool starts = co_await AwaitStart(request->repeatable);
  if (!starts) co_return false;
  if (!ChargeRun(*request)) {
    request->control->Finish();
    const bool more = co_await RefuseForBuffers(*request);
    co_return more;
  }

  request->responses_before = static_cast<std::uint32_t>(responses_.pending());
  if (request->responses_before > 0)
    context_.metrics.Count(Counter::kPipelinedRequests);
  request->response = responses_.Append();
  controls_.insert(request->control);
  ++context_.in_flight;
  if (request->body->complete()) {
    asio::co_spawn(socket_.get_executor(), Answer(request), asio::detached);
  } else {
    // The next request starts behind the body.
    streaming_body_ = true;
    WatchBodySender(*request->body);
    co_await Answer(request);
    StopWatchingBody();
    streaming_body_ = false;
  }
  co_return request->keep && request->body->complete() && !closing_;
}

std::optional<HttpSession::ErrorReply> CallerSession::Examine(
    ReceivedRequest& request) const {
  // Before the routing is loaded: a proof applies to the configuration that is
  // published by then, not to earlier ones.
  const bool accepts_keys =
      !context_.options.accepts_keys || context_.options.accepts_keys();
  request.routing = context_.Routing();
  RequestCheck check =
      CheckRequest(context_, {.header = request.header(),
                              .routing = request.routing,
                              .accepts_keys = accepts_keys,
                              .arrival = request.arrival,
                              .admit = context_.options.admit});
  request.team = std::move(check.team);
  request.time_limit = check.time_limit;
  if (!check.error) {
    request.repeatable = request.routing->routes[*check.route].rule->repeatable;
    return std::nullopt;
  }
  const ProxyError error = *check.error;
  const bool bad =
      error == ProxyError::kBadRequest || error == ProxyError::kKeyMissing;
  context_.metrics.Count(
      bad                                ? Counter::kBadRequests
      : error == ProxyError::kUnknownKey ? Counter::kUnauthorized
      : error == ProxyError::kOverQuota  ? Counter::kOverQuota
                                         : Counter::kRefusedNotRun);
  if (!bad) ReportRefusal(request, error);
  request.fault = std::move(check.fault);
  const bool keep = request.keep && request.parser->is_done();
  return ErrorReply{.error = error,
                    .keep = keep && check.MayKeepConnection(),
                    .detail = request.fault,
                    .retry_after = check.retry_after};
}

void CallerSession::ReportRefusal(const ReceivedRequest& request,
                                  ProxyError error) const {
  if (!context_.options.on_decision) return;
  context_.options.on_decision(
      {.kind = RequestDecision::Kind::kRefused,
       .request_id =
           GetRequestId(request.header(), context_.options.vocabulary),
       .reason = GetErrorTraits(error).reason,
       .status = static_cast<unsigned>(GetErrorTraits(error).status),
       .version = request.routing ? request.routing->head.version : 0});
}

asio::awaitable<bool> CallerSession::ReadBody(ReceivedRequest& request) {
  request.control = std::make_shared<RequestControl>(
      socket_.get_executor(), request.arrival + request.time_limit,
      [this] { return IsPeerClosed(); });
  request.control->Start(context_.options.limits.deadline_grace);
  request.body.emplace(
      InboundBody::Options{.socket = &socket_,
                           .buffer = &buffer_,
                           .parser = request.parser.get(),
                           .progress = &read_progress_,
                           .read_stop = &read_stop_,
                           .account = &account_,
                           .stall_limit = context_.options.limits.body_timeout,
                           .on_complete = [this, &request] {
                             // While a request runs whose body is still to
                             // come, nothing else reads.
                             if (request.response) WatchForDisconnect();
                           }});
  if (!request.parser->is_done() &&
      beast::iequals(request.header()[http::field::expect], "100-continue")) {
    // The interim response must not come in between earlier responses.
    const bool starts = co_await AwaitStart(false);
    if (!starts) co_return false;
    const std::array bytes{
        asio::const_buffer(kContinue.data(), kContinue.size())};
    const Exchange::Receiver to_caller = receiver();
    const beast::error_code error = co_await to_caller(bytes);
    if (error) co_return false;
  }
  bool fetched = false;
  {
    const RequestControl::Scope scope(*request.control,
                                      [this] { StopReading(); });
    fetched = co_await request.body->Prefetch(
        context_.options.limits.buffered_body_bytes);
  }
  if (fetched) co_return true;
  const bool late =
      request.control->stopped() == RequestControl::Stop::kDeadline;
  request.control->Finish();
  if (request.body->out_of_buffers() || account_.yielded()) {
    co_await RefuseForBuffers(request);
  } else if (request.body->too_long()) {
    co_await WriteError({.error = ProxyError::kBodyTooLong});
  } else if (late) {
    co_await WriteError({.error = ProxyError::kTooLate});
  } else if (stalled_) {
    co_await WriteError({.error = ProxyError::kSlowRequest});
  } else if (request.body->malformed()) {
    // Not a disconnect: earlier requests still get their responses.
    context_.metrics.Count(Counter::kBadRequests);
    co_await WriteError({.head_request = request.is_head(),
                         .detail = "malformed request body"});
  } else if (!closing_) {
    OnDisconnect();
  }
  co_return false;
}

bool CallerSession::ChargeRun(ReceivedRequest& request) {
  const std::uint64_t stream = request.body->complete() ? 0 : kStreamBytes;
  return request.charge.Grow(
      kHeaderCopies * request.charge.bytes() + kRunBytes + stream,
      std::chrono::steady_clock::now());
}

asio::awaitable<bool> CallerSession::RefuseForBuffers(
    const ReceivedRequest& request) {
  context_.metrics.Count(Counter::kRefusedNotRun);
  // A connection that yielded is counted as such.
  if (!account_.yielded()) context_.OnLimit(ProxyLimit::kBuffersRefused);
  ReportRefusal(request, ProxyError::kBuffersFull);
  const bool more = co_await WriteError(
      {.error = ProxyError::kBuffersFull, .head_request = request.is_head()});
  co_return more;
}

asio::awaitable<bool> CallerSession::AwaitStart(bool repeatable) {
  const std::size_t most =
      repeatable ? context_.options.limits.pipelined_requests : 1;
  bool waited = false;
  while (responses_.pending() >= most && !responses_.broken() && !closing_) {
    waited = true;
    WatchForDisconnect();
    co_await responses_.WaitForChange();
  }
  if (responses_.broken() || closing_) co_return false;
  if (!waited || !IsPeerClosed()) co_return true;
  OnDisconnect();
  co_return false;
}

asio::awaitable<void> CallerSession::Answer(
    std::shared_ptr<ReceivedRequest> received) {
  const auto self = shared_from_this();
  // Parameters are destroyed after local variables, but the request must not
  // outlive the account of the session.
  const std::shared_ptr<ReceivedRequest> request = std::move(received);
  const ResponseSequencer::ResponsePtr& response = request->response;
  CallerRequest run(
      context_,
      {.header = &request->header(),
       .body = &*request->body,
       .control = request->control.get(),
       .receiver =
           [this, response](std::span<const asio::const_buffer> bytes) {
             return responses_.Write(response, bytes);
           },
       .arrival = request->arrival,
       .team = request->team,
       .keep_alive =
           [this, &request] {
             return KeepsOpen(request->response,
                              request->keep && request->body->complete());
           },
       .charge_hedge = [&request] { return request->ChargeHedge(); },
       .responses_before = request->responses_before});
  const CallerRequest::Result result = co_await run.Run();
  bool complete = result.complete;
  std::optional<ProxyError> error = result.error;
  if (!error && !complete && responses_.Retract(response)) {
    // Nothing of the truncated response was sent, so the caller gets an error
    // and the connection remains usable.
    const bool late =
        request->control->stopped() == RequestControl::Stop::kDeadline;
    error = late ? ProxyError::kDeadline : ProxyError::kTargetBroke;
  }
  if (error && *error != ProxyError::kCallerGone) {
    const bool keep = KeepsOpen(
        response, !closing_ && request->keep && request->body->complete());
    const ErrorReply reply{
        .error = *error,
        .keep = keep,
        .head_request = request->is_head(),
        .retry_after =
            std::max(result.retry_after, context_.options.limits.retry_after)};
    complete = co_await AppendError(response, reply);
  }
  request->control->Finish();
  controls_.erase(request->control);
  const bool delivered = co_await responses_.End(response, complete);
  if (!delivered) OnDisconnect();
  --context_.in_flight;
}

bool CallerSession::KeepsOpen(const ResponseSequencer::ResponsePtr& response,
                              bool keep) {
  if (keep && !context_.draining) return true;
  // Responses behind this one must still be delivered.
  if (!responses_.IsLast(response)) return true;
  closing_ = true;
  // The target may need the rest of the body to complete its response.
  if (!streaming_body_) StopReading();
  return false;
}

asio::awaitable<bool> CallerSession::WriteError(ErrorReply reply) {
  if (closing_) co_return false;
  const ResponseSequencer::ResponsePtr response = responses_.Append();
  reply.keep = KeepsOpen(response, reply.keep);
  const bool written = co_await AppendError(response, reply);
  const bool delivered = co_await responses_.End(response, written);
  co_return (reply.keep && delivered);
}

asio::awaitable<bool> CallerSession::AppendError(
    const ResponseSequencer::ResponsePtr& response, const ErrorReply& reply) {
  std::ostringstream text;
  text << MakeError(reply);
  const std::string bytes = text.str();
  const std::array parts{asio::const_buffer(bytes.data(), bytes.size())};
  const beast::error_code failed = co_await responses_.Write(response, parts);
  co_return !failed;
}

bool CallerSession::MayYield() const {
  return HttpSession::MayYield() ||
         (streaming_body_ && read_progress_.pending());
}

asio::awaitable<void> CallerSession::AwaitResponses() {
  while (responses_.pending() > 0 && !responses_.broken()) {
    WatchForDisconnect();
    co_await responses_.WaitForChange();
  }
}

void CallerSession::OnDisconnect() {
  responses_.Break();
  StopReading();
  // Stopping a request can end it and remove its control.
  const auto running = controls_;
  for (const std::shared_ptr<RequestControl>& control : running)
    control->StopNow(RequestControl::Stop::kCallerGone);
}

void CallerSession::Close() {
  OnDisconnect();
  HttpSession::Close();
}

}  // namespace camphor

#include "proxy/caller_session.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "core/routing/route_matcher.h"
#include "proxy/caller_request.h"
#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/inbound_body.h"

namespace camphor {
namespace {

using Counter = ProxyMetrics::Counter;

constexpr std::size_t kMaxKeyLength = 255;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns true for 1 to 255 visible ASCII characters.
bool IsValidIdempotencyKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::ranges::all_of(
             key, [](char letter) { return letter > ' ' && letter < 127; });
}

}  // namespace

CallerSession::CallerSession(ProxyContext& context, tcp::socket socket)
    : HttpSession(context, std::move(socket)) {
  ++context_.caller_sessions;
}

CallerSession::~CallerSession() { --context_.caller_sessions; }

CallerLimits CallerSession::Limits() {
  // Limits from the operator's configuration override the process settings.
  const EffectiveRoutingPtr& routing = context_.Routing();
  const bool set = routing && routing->limits != CallerLimits{};
  return set ? routing->limits : HttpSession::Limits();
}

asio::awaitable<bool> CallerSession::Serve(RequestParser& parser) {
  const MonoTime arrival = std::chrono::steady_clock::now();
  const http::request_header<>& header = parser.get();
  const bool keep = parser.keep_alive();
  const bool keep_without_body = keep && parser.is_done();
  context_.metrics.Count(Counter::kCallerRequests);
  if (const auto fault = FindRequestHeaderError(header)) {
    context_.metrics.Count(Counter::kBadRequests);
    const bool more =
        co_await WriteError(ProxyError::kBadRequest, false, *fault);
    co_return more;
  }

  // Find the route and validate the headers that it requires.
  const EffectiveRoutingPtr routing = context_.Routing();
  const RouteQuery query = MakeRouteQuery(header);
  const std::optional<std::uint32_t> route =
      routing ? MatchRoute(*routing, query) : std::nullopt;
  if (!route) {
    context_.metrics.Count(Counter::kRefusedNotRun);
    const ProxyError error =
        routing ? ProxyError::kNoRoute : ProxyError::kNotReady;
    if (context_.options.on_decision) {
      context_.options.on_decision(
          {.kind = RequestDecision::Kind::kRefused,
           .request_id = GetRequestId(header, context_.options.vocabulary),
           .reason = GetErrorTraits(error).reason,
           .status = static_cast<unsigned>(GetErrorTraits(error).status),
           .version = routing ? routing->head.version : 0});
    }
    const bool more = co_await WriteError(error, keep_without_body);
    co_return more;
  }
  const RouteRule& rule = *routing->routes[*route].rule;
  const HeaderVocabulary& vocabulary = context_.options.vocabulary;
  const std::optional<Milliseconds> limit =
      ReadDeadline(header, vocabulary.deadline, rule.timeout);
  const std::string_view key = HeaderValue(header, kIdempotencyKeyHeader);
  if (!limit || (!key.empty() && !IsValidIdempotencyKey(key)) ||
      header.count(kIdempotencyKeyHeader) > 1) {
    context_.metrics.Count(Counter::kBadRequests);
    const bool more = co_await WriteError(
        ProxyError::kBadRequest, keep_without_body,
        limit ? std::string(
                    "Idempotency-Key must occur once, with 1 to 255 visible "
                    "characters")
              : vocabulary.deadline + " must be a number of milliseconds");
    co_return more;
  }
  if (rule.at_most_once && key.empty()) {
    context_.metrics.Count(Counter::kBadRequests);
    const bool more =
        co_await WriteError(ProxyError::kKeyMissing, keep_without_body);
    co_return more;
  }

  RequestControl& control =
      StartControl(arrival + std::min(*limit, rule.timeout),
                   context_.options.limits.deadline_grace);
  InboundBody body({.socket = &socket_,
                    .buffer = &buffer_,
                    .parser = &parser,
                    .progress = &progress_,
                    .stall_limit = context_.options.limits.body_timeout,
                    .on_complete = [this] { WatchForDisconnect(); }});
  if (!parser.is_done() &&
      beast::iequals(header[http::field::expect], "100-continue")) {
    auto [error, bytes] = co_await asio::async_write(
        socket_, asio::buffer(kContinue.data(), kContinue.size()), kAsTuple);
    if (error) co_return false;
  }
  bool fetched = false;
  {
    const RequestControl::Scope scope(control, [this] {
      beast::error_code ignored;
      socket_.cancel(ignored);
    });
    fetched =
        co_await body.Prefetch(context_.options.limits.buffered_body_bytes);
  }
  if (!fetched) {
    const bool late = control.stopped() == RequestControl::Stop::kDeadline;
    if (body.too_long()) co_await WriteError(ProxyError::kBodyTooLong, false);
    if (late) co_await WriteError(ProxyError::kTooLate, false);
    if (stalled_) co_await WriteError(ProxyError::kSlowRequest, false);
    co_return false;
  }

  CallerRequest request(context_, {.header = &header,
                                   .body = &body,
                                   .control = &control,
                                   .receiver = receiver(),
                                   .arrival = arrival,
                                   .keep_alive = keep});
  const CallerRequest::Result result = co_await request.Run();
  if (result.error) {
    const bool more =
        co_await WriteError(*result.error, keep && body.complete());
    co_return more;
  }
  co_return (result.complete && keep && body.complete() && !context_.draining);
}

}  // namespace camphor

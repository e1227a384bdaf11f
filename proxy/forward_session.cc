#include "proxy/forward_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/local_run.h"
#include "proxy/mesh_proof.h"

namespace camphor {
namespace {

using Counter = ProxyMetrics::Counter;

constexpr Milliseconds kLongestTime{60'000};
constexpr std::size_t kLongestNonce = 64;
constexpr std::string_view kInterim = "HTTP/1.1 102 Processing\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

template <typename Number>
Number ParseNumber(std::string_view text, int base, Number fallback) {
  std::from_chars(text.data(), text.data() + text.size(), fallback, base);
  return fallback;
}

/// What the other host says of a request's urgency.
Urgency UrgencyOf(const http::request_header<>& header, MonoTime arrival,
                  MonoTime deadline) {
  const auto number = [&header](std::string_view name, std::int64_t fallback) {
    return ParseNumber(HeaderValue(header, name), 10, fallback);
  };
  const Milliseconds wanted_in(number(kWantedHeader, 0));
  return {
      .priority = static_cast<std::uint32_t>(number(kPriorityHeader, 0)),
      .wanted = wanted_in.count() > 0 ? std::min(arrival + wanted_in, deadline)
                                      : deadline,
      .deadline = deadline,
      .work_class = static_cast<std::uint32_t>(number(kWorkClassHeader, 0))};
}

}  // namespace

ForwardSession::ForwardSession(ProxyContext& context, tcp::socket socket)
    : HttpSession(context, std::move(socket)),
      heartbeat_(socket_.get_executor(), [this] { SendHeartbeat(); }) {
  ++context_.forward_sessions;
}

ForwardSession::~ForwardSession() { --context_.forward_sessions; }

asio::awaitable<bool> ForwardSession::Serve(RequestParser& parser) {
  const MonoTime arrival = std::chrono::steady_clock::now();
  const http::request_header<>& header = parser.get();
  const std::string_view control_word = HeaderValue(header, kControlHeader);
  if (!proved_ && control_word == kHelloControl) {
    const bool more = co_await AnswerHello(header);
    co_return more;
  }
  if (!proved_ && !CheckProof(header)) {
    const bool more = co_await RefuseStranger();
    co_return more;
  }
  if (control_word == kPingControl) {
    const bool more = co_await AnswerPing();
    co_return more;
  }

  context_.metrics.Count(Counter::kForwardRequests);
  const bool keep = parser.keep_alive();
  if (const auto fault = FindFaultOfRequest(header)) {
    context_.metrics.Count(Counter::kBadRequests);
    const bool more =
        co_await WriteError(ProxyError::kBadRequest, false, *fault);
    co_return more;
  }
  if (context_.draining) {
    const bool more = co_await WriteError(ProxyError::kDraining, false);
    co_return more;
  }
  const Milliseconds limit = ReadDeadline(header, kDeadlineHeader, kLongestTime)
                                 .value_or(kLongestTime);
  RequestControl& control = StartControl(arrival + limit, Milliseconds(0));
  InboundBody body({.socket = &socket_,
                    .buffer = &buffer_,
                    .parser = &parser,
                    .progress = &progress_,
                    .stall_limit = context_.options.limits.body_timeout,
                    .on_whole = [this] { WatchSender(); }});

  // A body that the sender holds back is asked for once the target has room.
  const bool held_back =
      beast::iequals(header[http::field::expect], "100-continue");
  if (!held_back) {
    const bool fetched =
        co_await body.Prefetch(context_.options.limits.buffered_body_bytes);
    if (!fetched) co_return false;
  }
  PlacedRequest request = MakeRequest(header);
  request.control = &control;
  request.urgency = UrgencyOf(header, arrival, control.deadline());
  request.body = &body;
  if (held_back) {
    request.before_send = [this]() -> asio::awaitable<bool> {
      auto [error, bytes] = co_await asio::async_write(
          socket_, asio::buffer(kContinue.data(), kContinue.size()), kAsTuple);
      co_return !error;
    };
  }
  const bool more = co_await RunRequest(std::move(request), body, keep);
  co_return more;
}

PlacedRequest ForwardSession::MakeRequest(
    const http::request_header<>& header) const {
  PlacedRequest request{
      .header = header,
      .target = TargetId(std::string(HeaderValue(header, kTargetIdHeader))),
      .fingerprint = ParseNumber(HeaderValue(header, kFingerprintHeader), 16,
                                 std::uint64_t{0}),
      .suspect = !HeaderValue(header, kSuspectHeader).empty()};
  if (!HeaderValue(header, kClaimHeader).empty()) {
    request.claim_key = HeaderValue(header, kIdempotencyKeyHeader);
  }

  // The target sees none of these headers.
  request.attempt =
      ParseNumber(HeaderValue(header, kAttemptHeader), 10, request.attempt);
  RemoveHopByHopHeaders(request.header);
  RemoveInternalHeaders(request.header);
  return request;
}

asio::awaitable<bool> ForwardSession::RunRequest(PlacedRequest request,
                                                 InboundBody& body, bool keep) {
  heartbeat_.Set(context_.options.limits.first_heartbeat);
  LocalRun run(context_, std::move(request));
  const std::optional<ProxyError> error = co_await run.Begin();
  heartbeat_.Clear();
  if (error) {
    ReportRefusal(run, *error);
    co_await run.End(false);
    if (*error == ProxyError::kCallerGone) co_return false;
    const bool more = co_await WriteError(*error, keep && body.whole());
    co_return more;
  }
  http::response_header<> header = run.exchange().answer();
  RemoveHopByHopHeaders(header);
  RemoveInternalHeaders(header);
  const bool keeps = keep && body.whole() && !context_.draining;
  if (!keeps) header.set(http::field::connection, "close");
  const Exchange::Relayed relayed =
      co_await run.exchange().Relay(std::move(header), receiver());
  co_await run.End(relayed == Exchange::Relayed::kCut);
  const bool whole = relayed == Exchange::Relayed::kWhole;
  co_return (whole && keeps && body.whole());
}

void ForwardSession::ReportRefusal(const LocalRun& run,
                                   ProxyError error) const {
  if (!context_.options.on_decision) return;
  const ProxyErrorTraits& traits = GetErrorTraits(error);
  const SlotGate* gate = run.gate();
  context_.options.on_decision(
      {.kind = KindOfEnd(error),
       .hop = RequestDecision::Hop::kTarget,
       .request_id = run.request_id(),
       .target = run.request().target.value(),
       .reason = traits.reason,
       .attempt = run.request().attempt,
       .status = static_cast<unsigned>(traits.status),
       .version = context_.Routing() ? context_.Routing()->head.version : 0,
       .remaining_time = run.request().control->TimeLeft(),
       .in_flight = gate == nullptr ? 0 : gate->running(),
       .waiting =
           gate == nullptr ? 0 : static_cast<std::uint32_t>(gate->waiting())});
}

void ForwardSession::SendHeartbeat() {
  // A host that waits hears from this one, so that it can tell a slow target
  // from a connection that went silent. Some bytes on an empty send buffer are
  // taken whole, or not at all.
  beast::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.write_some(asio::buffer(kInterim.data(), kInterim.size()), ignored);
  heartbeat_.Set(context_.options.limits.heartbeat);
}

asio::awaitable<bool> ForwardSession::AnswerHello(
    const http::request_header<>& header) {
  client_nonce_ = HeaderValue(header, kNonceHeader);
  if (client_nonce_.empty() || client_nonce_.size() > kLongestNonce) {
    const bool more = co_await RefuseStranger();
    co_return more;
  }
  server_nonce_ = MeshProof::MakeNonce();
  http::response<http::empty_body> answer(http::status::ok, 11);
  answer.set(kNonceHeader, server_nonce_);
  answer.set(kProofHeader, MeshProof::OfServer(context_.options.mesh_key,
                                               client_nonce_, server_nonce_));
  answer.content_length(0);
  auto [error, bytes] = co_await http::async_write(socket_, answer, kAsTuple);
  co_return !error;
}

bool ForwardSession::CheckProof(const http::request_header<>& header) {
  if (server_nonce_.empty()) return false;
  const std::string expected = MeshProof::OfClient(
      context_.options.mesh_key, client_nonce_, server_nonce_);
  proved_ = MeshProof::Equal(HeaderValue(header, kProofHeader), expected);
  return proved_;
}

asio::awaitable<bool> ForwardSession::RefuseStranger() {
  context_.metrics.Count(Counter::kStrangers);
  http::response<http::empty_body> answer(http::status::forbidden, 11);
  answer.keep_alive(false);
  answer.content_length(0);
  co_await http::async_write(socket_, answer, kAsTuple);
  co_return false;
}

asio::awaitable<bool> ForwardSession::AnswerPing() {
  http::response<http::empty_body> answer(http::status::no_content, 11);
  answer.keep_alive(!context_.draining);
  auto [error, bytes] = co_await http::async_write(socket_, answer, kAsTuple);
  co_return !error && !context_.draining;
}

}  // namespace camphor

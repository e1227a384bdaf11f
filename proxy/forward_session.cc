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

constexpr Milliseconds kMaxDeadline{60'000};
constexpr std::size_t kMaxNonceLength = 64;
constexpr std::uint64_t kHeaderCopies = 2;
constexpr std::uint64_t kRunBytes = 40 * 1024;
constexpr std::string_view kInterim = "HTTP/1.1 102 Processing\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Counted for a body in chunks, whose length is not known in advance. Most
// bodies are shorter; what a longer one sends beyond it is not counted.
constexpr std::uint64_t kUnknownBodyBytes = 64 * 1024;

// Received of a body that was held back before its request is sent on.
constexpr std::size_t kFirstBodyBytes = 1024;

template <typename Number>
Number ParseNumber(std::string_view text, int base, Number fallback) {
  std::from_chars(text.data(), text.data() + text.size(), fallback, base);
  return fallback;
}

/// Returns the address of the peer; empty if the connection is already gone.
std::string RemoteAddress(const tcp::socket& socket) {
  beast::error_code error;
  const tcp::endpoint peer = socket.remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

/// Reads the urgency headers set by the other host.
Urgency ReadUrgency(const http::request_header<>& header, MonoTime arrival,
                    MonoTime deadline) {
  const auto number = [&header](std::string_view name, std::int64_t fallback) {
    return ParseNumber(HeaderValue(header, name), 10, fallback);
  };
  const Milliseconds wanted_in(number(kWantedHeader, 0));
  return {
      .priority = static_cast<std::uint32_t>(number(kPriorityHeader, 0)),
      .soft_deadline = wanted_in.count() > 0
                           ? std::min(arrival + wanted_in, deadline)
                           : deadline,
      .deadline = deadline,
      .work_class = static_cast<std::uint32_t>(number(kWorkClassHeader, 0))};
}

}  // namespace

bool ForwardSession::HasPlace(ProxyContext& /*context*/, MonoTime /*now*/) {
  // The places of connections without a proof are limited by
  // ProxyContext::handshakes, those of hosts by AdmitHost().
  return true;
}

ForwardSession::ForwardSession(ProxyContext& context, tcp::socket socket)
    : HttpSession(context, std::move(socket), kGroup),
      handshake_limit_(
          socket_.get_executor(),
          [this] { AbandonHandshake(ProxyLimit::kHandshakeLate); }),
      heartbeat_(socket_.get_executor(), [this] { SendHeartbeat(); }) {
  ++context_.forward_sessions;
  // Connections of hosts do not yield their buffers to strangers.
  account_.SpareGroup(static_cast<std::uint32_t>(SessionGroup::kHosts));
  const ProxyLimits& limits = context_.options.limits;
  context_.handshakes.SetPlaces(PendingHandshakes::PlacesBeside(
      context_.host_sessions, limits.forward_connections,
      limits.pending_handshakes));
  handshake_ = context_.handshakes.Take(RemoteAddress(socket_), [this] {
    AbandonHandshake(ProxyLimit::kHandshakeDisplaced);
  });
  handshake_limit_.Set(limits.handshake_timeout);
}

ForwardSession::~ForwardSession() {
  --context_.forward_sessions;
  if (authenticated_) --context_.host_sessions;
}

void ForwardSession::AbandonHandshake(ProxyLimit limit) {
  context_.OnLimit(limit);
  Close();
}

asio::awaitable<bool> ForwardSession::Serve(
    std::unique_ptr<RequestParser> parser) {
  const MonoTime arrival = std::chrono::steady_clock::now();
  const http::request_header<>& header = parser->get();
  const std::string_view control_value = HeaderValue(header, kControlHeader);
  if (!authenticated_ && control_value == kHelloControl) {
    const bool more = co_await HandleHello(header);
    co_return more;
  }
  if (!authenticated_ && !VerifyProof(header)) {
    const bool more = co_await RejectUnauthenticated();
    co_return more;
  }
  if (!authenticated_ && !AdmitHost()) {
    context_.OnLimit(ProxyLimit::kConnectionsRefused);
    const bool more = co_await WriteError({.error = ProxyError::kBuffersFull});
    co_return more;
  }
  if (control_value == kPingControl) {
    const bool more = co_await HandlePing();
    co_return more;
  }

  context_.metrics.Count(Counter::kForwardRequests);
  const bool keep = parser->keep_alive();
  if (const auto fault = FindRequestHeaderError(header)) {
    context_.metrics.Count(Counter::kBadRequests);
    const bool more = co_await WriteError({.detail = *fault});
    co_return more;
  }
  const Milliseconds limit = ReadDeadline(header, kDeadlineHeader, kMaxDeadline)
                                 .value_or(kMaxDeadline);
  if (context_.draining || context_.MayOutlastThisProxy(arrival + limit)) {
    const bool more = co_await WriteError({.error = ProxyError::kDraining});
    co_return more;
  }
  RequestControl& control = StartControl(arrival + limit, Milliseconds(0));
  InboundBody body({.socket = &socket_,
                    .buffer = &buffer_,
                    .parser = parser.get(),
                    .progress = &read_progress_,
                    .read_stop = &read_stop_,
                    .account = &account_,
                    .stall_limit = context_.options.limits.body_timeout,
                    .on_complete = [this] { WatchForDisconnect(); }});

  // If the sender waits for 100 Continue, the body is requested once the target
  // has a free slot.
  const bool held_back =
      beast::iequals(header[http::field::expect], "100-continue");
  if (!held_back) {
    bool fetched = false;
    {
      const RequestControl::Scope scope(control, [this] { StopReading(); });
      fetched =
          co_await body.Prefetch(context_.options.limits.buffered_body_bytes);
    }
    if (!fetched) {
      if (body.out_of_buffers() || account_.yielded())
        co_await RefuseForBuffers();
      co_return false;
    }
  }
  // What a running request needs besides its header and body: copies of the
  // header, a buffer for each direction and the frames of the coroutines.
  if (!head_charge_.Grow(kHeaderCopies * head_charge_.bytes() + kRunBytes,
                         std::chrono::steady_clock::now())) {
    co_await RefuseForBuffers();
    co_return false;
  }
  PlacedRequest request = MakeRequest(header);
  request.control = &control;
  request.urgency = ReadUrgency(header, arrival, control.deadline());
  request.body = &body;
  const std::uint64_t held_back_bytes =
      held_back ? body.length().value_or(kUnknownBodyBytes) : 0;
  bool body_requested = false;
  if (held_back) {
    if (!context_.body_transfers.TryAcquire(held_back_bytes, arrival)) {
      context_.metrics.Count(Counter::kLinkFullRefused);
      const bool more = co_await WriteError(
          {.error = ProxyError::kLinkFull, .keep = keep && body.complete()});
      co_return more;
    }
    request.before_send = [this, &control, &body,
                           &body_requested]() -> asio::awaitable<bool> {
      body_requested = true;
      auto [error, bytes] = co_await asio::async_write(
          socket_, asio::buffer(kContinue.data(), kContinue.size()), kAsTuple);
      if (error) co_return false;
      // The sender may find only now that its caller has left.
      const RequestControl::Scope scope(control, [this] { StopReading(); });
      const bool started = co_await body.Prefetch(kFirstBodyBytes);
      co_return started;
    };
    WatchBodySender(body);
  }
  const bool more = co_await RunRequest(std::move(request), body, keep);
  StopWatchingBody();
  // Nothing was sent on or responded yet.
  if (held_back && body.out_of_buffers()) co_await RefuseForBuffers();
  if (held_back && !body_requested)
    context_.body_transfers.Release(held_back_bytes, arrival,
                                    std::chrono::steady_clock::now());
  co_return more;
}

asio::awaitable<void> ForwardSession::RefuseForBuffers() {
  if (!account_.yielded()) context_.OnLimit(ProxyLimit::kBuffersRefused);
  co_await WriteError({.error = ProxyError::kBuffersFull});
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

  // Internal headers are not forwarded to the target.
  request.attempt =
      ParseNumber(HeaderValue(header, kAttemptHeader), 10, request.attempt);
  RemoveHopByHopHeaders(request.header);
  RemoveInternalHeaders(request.header);
  return request;
}

asio::awaitable<bool> ForwardSession::RunRequest(PlacedRequest request,
                                                 InboundBody& body, bool keep) {
  heartbeat_.Set(context_.options.limits.first_heartbeat);
  const bool head_request = request.header.method() == http::verb::head;
  LocalRun run(context_, std::move(request));
  const std::optional<ProxyError> error = co_await run.Begin();
  heartbeat_.Clear();
  const std::optional<LoadReport> load = run.load_report();
  if (error) {
    ReportRefusal(run, *error);
    co_await run.End(false);
    if (*error == ProxyError::kCallerGone) co_return false;
    const bool more = co_await WriteError({.error = *error,
                                           .keep = keep && body.complete(),
                                           .head_request = head_request,
                                           .load = load});
    co_return more;
  }
  http::response_header<> header = run.exchange().response();
  RemoveHopByHopHeaders(header);
  RemoveInternalHeaders(header);
  if (load) header.set(kLoadHeader, load->ToString());
  const bool keeps = keep && body.complete() && !context_.draining;
  if (!keeps) header.set(http::field::connection, "close");
  const Exchange::Receiver to_sender = receiver();
  const Exchange::RelayResult relayed =
      co_await run.exchange().Relay(std::move(header), to_sender);
  const bool complete = relayed == Exchange::RelayResult::kComplete;
  if (complete) co_await run.exchange().FinishBody();
  co_await run.End(relayed == Exchange::RelayResult::kTruncated);
  co_return (complete && keeps && body.complete());
}

void ForwardSession::ReportRefusal(const LocalRun& run,
                                   ProxyError error) const {
  if (!context_.options.on_decision) return;
  const ProxyErrorTraits& traits = GetErrorTraits(error);
  const ConcurrencyLimiter* gate = run.gate();
  context_.options.on_decision(
      {.kind = DecisionKindForError(error),
       .hop = RequestDecision::Hop::kTarget,
       .request_id = run.request_id(),
       .target = run.request().target.value(),
       .reason = traits.reason,
       .attempt = run.request().attempt,
       .status = static_cast<unsigned>(traits.status),
       .version = context_.Routing() ? context_.Routing()->head.version : 0,
       .remaining_time = run.request().control->RemainingTime(),
       .in_flight = gate == nullptr ? 0 : gate->running(),
       .waiting =
           gate == nullptr ? 0 : static_cast<std::uint32_t>(gate->waiting())});
}

void ForwardSession::SendHeartbeat() {
  // Lets the waiting host distinguish a slow target from a dead connection. A
  // few bytes fit in an empty send buffer, so they are written completely or
  // not at all.
  beast::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.write_some(asio::buffer(kInterim.data(), kInterim.size()), ignored);
  heartbeat_.Set(context_.options.limits.heartbeat);
}

asio::awaitable<bool> ForwardSession::HandleHello(
    const http::request_header<>& header) {
  const bool repeated = !server_nonce_.empty();
  client_nonce_ = HeaderValue(header, kNonceHeader);
  if (repeated || client_nonce_.empty() ||
      client_nonce_.size() > kMaxNonceLength) {
    const bool more = co_await RejectUnauthenticated();
    co_return more;
  }
  server_nonce_ = MeshProof::MakeNonce();
  http::response<http::empty_body> response(http::status::ok, 11);
  response.set(kNonceHeader, server_nonce_);
  response.set(kProofHeader,
               MeshProof::ServerProof(context_.options.mesh_key, client_nonce_,
                                      server_nonce_));
  response.content_length(0);
  const bool written = co_await WriteControl(response);
  co_return written;
}

bool ForwardSession::VerifyProof(const http::request_header<>& header) {
  if (server_nonce_.empty()) return false;
  const std::string expected = MeshProof::ClientProof(
      context_.options.mesh_key, client_nonce_, server_nonce_);
  return MeshProof::Equal(HeaderValue(header, kProofHeader), expected);
}

bool ForwardSession::AdmitHost() {
  constexpr auto kHosts = static_cast<std::uint32_t>(SessionGroup::kHosts);
  const MonoTime now = std::chrono::steady_clock::now();
  if (context_.host_sessions >= context_.options.limits.forward_connections &&
      !context_.buffers.YieldConnection(kHosts, now)) {
    return false;
  }
  authenticated_ = true;
  ++context_.host_sessions;
  handshake_limit_.Clear();
  handshake_ = {};
  account_.SetGroup(kHosts);
  return true;
}

asio::awaitable<bool> ForwardSession::RejectUnauthenticated() {
  context_.metrics.Count(Counter::kUnauthenticated);
  http::response<http::empty_body> response(http::status::forbidden, 11);
  response.keep_alive(false);
  response.content_length(0);
  co_await WriteControl(response);
  co_return false;
}

asio::awaitable<bool> ForwardSession::WriteControl(
    http::response<http::empty_body>& response) {
  write_progress_.Set(context_.options.limits.body_timeout);
  auto [error, bytes] = co_await http::async_write(socket_, response, kAsTuple);
  write_progress_.Clear();
  co_return !error;
}

asio::awaitable<bool> ForwardSession::HandlePing() {
  http::response<http::empty_body> response(http::status::no_content, 11);
  response.keep_alive(!context_.draining);
  const bool written = co_await WriteControl(response);
  co_return written && !context_.draining;
}

}  // namespace camphor

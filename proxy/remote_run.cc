#include "proxy/remote_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/host_pools.h"

namespace camphor {
namespace {

/// The other host gets a slightly shorter deadline, so that its refusal arrives
/// in time.
Milliseconds ForwardedDeadline(Microseconds left) {
  const Microseconds margin =
      std::clamp(left / 20, Microseconds(1000), Microseconds(50'000));
  return std::chrono::duration_cast<Milliseconds>(
      std::max(left - margin, Microseconds(0)));
}

}  // namespace

RemoteRun::RemoteRun(ProxyContext& context, PlacedRequest request,
                     const RoutedTarget& target)
    : context_(context),
      request_(std::move(request)),
      forward_(target.forward) {}

asio::awaitable<std::optional<ProxyError>> RemoteRun::Begin() {
  const std::shared_ptr<ConnectionPool> pool = context_.hosts->Find(forward_);
  ConnectionPool::Acquired acquired = co_await pool->Acquire();
  if (!acquired.lease) {
    co_return acquired.failure == ConnectionPool::Failure::kFull
        ? ProxyError::kFull
        : ProxyError::kConnectFailed;
  }
  lease_ = std::move(acquired.lease);
  SetInternalHeaders();
  exchange_.emplace(Exchange::Options{
      .connection = &*lease_,
      .control = request_.control,
      .body = request_.body,
      .await_continue = true,
      .silence_timeout = context_.options.limits.silence_timeout,
      .abandon_after = request_.abandon_after,
      .may_abandon = request_.may_abandon});
  const Exchange::SendResult sent =
      co_await exchange_->Send(std::move(request_.header));
  if (sent == Exchange::SendResult::kSilenceTimeout) {
    context_.metrics.Count(ProxyMetrics::Counter::kSilentConnections);
  }
  if (sent == Exchange::SendResult::kNotSent) {
    switch (request_.control->stopped()) {
      case RequestControl::Stop::kCallerGone:
        co_return ProxyError::kCallerGone;
      case RequestControl::Stop::kDeadline:
        co_return ProxyError::kTooLate;
      case RequestControl::Stop::kNone:
        co_return ProxyError::kConnectFailed;
    }
  }
  if (sent != Exchange::SendResult::kResponse) {
    co_return ToProxyError(sent, *request_.control);
  }
  const std::optional<ProxyError> error = co_await ReadResponse();
  co_return error;
}

void RemoteRun::SetInternalHeaders() {
  http::request_header<>& header = request_.header;
  if (!lease_->proof.empty()) {
    header.set(kProofHeader, std::exchange(lease_->proof, {}));
  }
  header.set(kTargetIdHeader, request_.target.value());
  header.set(kDeadlineHeader,
             fmt::format_int(
                 ForwardedDeadline(request_.control->RemainingTime()).count())
                 .str());
  header.set(kAttemptHeader, fmt::format_int(request_.attempt).str());
  header.set(kFingerprintHeader, fmt::format("{:016x}", request_.fingerprint));
  const Urgency& urgency = request_.urgency;
  const auto wanted_in = std::chrono::duration_cast<Milliseconds>(
      urgency.soft_deadline - std::chrono::steady_clock::now());
  header.set(kPriorityHeader, fmt::format_int(urgency.priority).str());
  header.set(kWorkClassHeader, fmt::format_int(urgency.work_class).str());
  header.set(kWantedHeader, fmt::format_int(wanted_in.count()).str());
  if (request_.suspect) header.set(kSuspectHeader, "1");
  if (!request_.claim_key.empty()) header.set(kClaimHeader, "1");
}

asio::awaitable<std::optional<ProxyError>> RemoteRun::ReadResponse() {
  // The other host's proxy removes these headers from target responses, so the
  // proxy itself set them.
  load_report_ =
      LoadReport::Parse(HeaderValue(exchange_->response(), kLoadHeader));
  const std::string_view reason =
      HeaderValue(exchange_->response(), kReasonHeader);
  if (reason.empty()) {
    const bool whole = co_await exchange_->ReadSmallBody();
    if (whole) co_return std::nullopt;
    const bool stopped =
        request_.control->stopped() != RequestControl::Stop::kNone;
    co_return stopped
        ? ToProxyError(Exchange::SendResult::kStopped, *request_.control)
        : ProxyError::kTargetBroke;
  }
  // A host of a later version may give a reason that is not known here. Its
  // statement that the request has not run holds all the same.
  const bool not_run =
      HeaderValue(exchange_->response(), kNotRunHeader) == "true";
  const ProxyError error = FindErrorByReason(reason).value_or(
      not_run ? ProxyError::kNoTarget : ProxyError::kTargetBroke);
  co_await exchange_->Discard();
  co_return error;
}

asio::awaitable<void> RemoteRun::End(bool /*cut*/) {
  if (exchange_) {
    co_await exchange_->Join();
    if (exchange_->reusable()) lease_.Reuse();
  }
  lease_.Drop();
}

}  // namespace camphor

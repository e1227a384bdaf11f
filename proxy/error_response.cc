#include "proxy/error_response.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <cstddef>

#include "proxy/header_names.h"

namespace camphor {
namespace {

using http::status;

constexpr std::size_t kErrors =
    static_cast<std::size_t>(ProxyError::kCallerGone) + 1;

/// Indexed by ProxyError.
constexpr std::array<ProxyErrorTraits, kErrors> kTraits = {{
    {status::bad_request, "bad_request", "malformed request", true},
    {status::request_header_fields_too_large, "header_too_long",
     "request header exceeds the size limit", true},
    {status::payload_too_large, "body_too_long",
     "request body exceeds the size limit", true},
    {status::request_timeout, "slow_request",
     "request was not received within the time limit", true},
    {status::bad_request, "key_missing",
     "this route requires an Idempotency-Key header", true},
    {status::not_found, "no_route", "no route matches this request", true},
    {status::unauthorized, "unknown_key",
     "this route requires an API key of a team", true},
    {status::too_many_requests, "over_quota",
     "the quota of this team is used up", true},
    {status::service_unavailable, "not_ready",
     "this host has no configuration yet", true},
    {status::service_unavailable, "stale_keys",
     "this host cannot confirm that its API keys are current", true},
    {status::service_unavailable, "no_target", "no target is available", true},
    {status::service_unavailable, "full",
     "the slots and the queue of the target are full", true},
    {status::service_unavailable, "limited",
     "the request limit that the target names is reached", true},
    {status::service_unavailable, "cold",
     "the target is cold and takes no more requests now", true},
    {status::service_unavailable, "evacuated",
     "the failure domain of the target is evacuated", true},
    {status::service_unavailable, "refused",
     "the target refused the request without running it", true},
    {status::service_unavailable, "too_late",
     "request could not be completed before its deadline", true},
    {status::service_unavailable, "connect_failed",
     "connecting to the target failed", true},
    {status::service_unavailable, "suspect_busy",
     "another suspected poison request is running on the target", true},
    {status::service_unavailable, "buffers_full",
     "the buffers of this host are full", true},
    {status::service_unavailable, "overloaded",
     "this host is behind with its requests", true},
    {status::service_unavailable, "link_full",
     "the link of the target's host has no room for the request body", true},
    {status::service_unavailable, "draining", "this host is draining", true},
    {status::service_unavailable, "claim_not_made",
     "idempotency key could not be claimed", true},
    {status::conflict, "claim_held",
     "idempotency key is already claimed by another attempt", false},
    {status::service_unavailable, "claim_unknown",
     "unknown whether the idempotency key is claimed", false},
    {status::unprocessable_entity, "poison",
     "request blocked: targets died while running it before", false},
    {status::bad_gateway, "target_broke",
     "connection to the target broke before the response was complete", false},
    {status::bad_gateway, "target_died",
     "the target died while running this request", false},
    {status::bad_gateway, "bad_answer", "malformed response from the target",
     false},
    {status::gateway_timeout, "silent",
     "the target or its host did not respond in time", false},
    {status::gateway_timeout, "deadline", "no response before the deadline",
     false},
    {status::gateway_timeout, "caller_gone", "the caller disconnected", false},
}};

/// Formats Retry-After in whole seconds, rounded up, unless fractions are
/// allowed.
std::string RetryAfterText(const ErrorDetail& detail) {
  const std::chrono::duration<double> exact = detail.retry_after;
  if (detail.fractional_retry_after)
    return fmt::format("{:.3f}", exact.count());
  return fmt::format_int(std::chrono::ceil<Seconds>(detail.retry_after).count())
      .str();
}

}  // namespace

const ProxyErrorTraits& GetErrorTraits(ProxyError error) {
  return kTraits[static_cast<std::size_t>(error)];
}

bool HasRetryAfter(const ProxyErrorTraits& traits) {
  return traits.not_run && (traits.status == status::service_unavailable ||
                            traits.status == status::too_many_requests);
}

std::optional<ProxyError> FindErrorByReason(std::string_view reason) {
  const auto found =
      std::ranges::find(kTraits, reason, &ProxyErrorTraits::reason);
  if (found == kTraits.end()) return std::nullopt;
  return static_cast<ProxyError>(found - kTraits.begin());
}

http::response<http::string_body> MakeErrorResponse(ProxyError error,
                                                    const ErrorDetail& detail) {
  const ProxyErrorTraits& traits = GetErrorTraits(error);
  http::response<http::string_body> response(traits.status, 11);
  response.set(http::field::content_type, "application/json");
  response.set(kReasonHeader, traits.reason);
  if (traits.not_run) {
    response.set(kNotRunHeader, "true");
  } else {
    response.set(kOutcomeHeader, "unknown");
  }
  if (HasRetryAfter(traits)) {
    response.set(http::field::retry_after, RetryAfterText(detail));
  }
  const std::string_view message =
      detail.sentence.empty() ? traits.message : detail.sentence;
  response.body() =
      boost::json::serialize(boost::json::object{{"error", message},
                                                 {"reason", traits.reason},
                                                 {"not_run", traits.not_run}});
  response.prepare_payload();
  return response;
}

}  // namespace camphor

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

/// In the order of ProxyError.
constexpr std::array<ProxyErrorTraits, kErrors> kTraits = {{
    {status::bad_request, "bad_request", "the request is malformed", true},
    {status::request_header_fields_too_large, "header_too_long",
     "the header is too long", true},
    {status::payload_too_large, "body_too_long", "the body is too long", true},
    {status::request_timeout, "slow_request",
     "the request took too long to arrive", true},
    {status::bad_request, "key_missing",
     "this route needs an Idempotency-Key header", true},
    {status::not_found, "no_route", "no route takes this request", true},
    {status::service_unavailable, "not_ready",
     "this host has no configuration yet", true},
    {status::service_unavailable, "no_target", "no target takes work now",
     true},
    {status::service_unavailable, "full", "the target takes no more work",
     true},
    {status::service_unavailable, "refused",
     "the target refused the request without running it", true},
    {status::service_unavailable, "too_late",
     "the request could not end before its deadline", true},
    {status::service_unavailable, "connect_failed",
     "the target can not be connected to", true},
    {status::service_unavailable, "suspect_busy",
     "a request like this one is being watched", true},
    {status::service_unavailable, "draining", "this host is leaving", true},
    {status::service_unavailable, "claim_not_made",
     "the idempotency key can not be claimed now", true},
    {status::conflict, "claim_held",
     "another attempt holds this idempotency key", false},
    {status::service_unavailable, "claim_unknown",
     "it can not be said whether the idempotency key is claimed", false},
    {status::unprocessable_entity, "poison",
     "targets died under this request before", false},
    {status::bad_gateway, "target_broke",
     "the connection to the target broke before the whole answer", false},
    {status::bad_gateway, "target_died", "the target died under this request",
     false},
    {status::bad_gateway, "bad_answer", "the target's answer is malformed",
     false},
    {status::gateway_timeout, "silent",
     "the connection to the target's host went silent", false},
    {status::gateway_timeout, "deadline", "no answer before the deadline",
     false},
    {status::gateway_timeout, "caller_gone", "nobody waits for the answer",
     false},
}};

/// Whole seconds, rounded up, unless parts of a second are understood.
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

std::optional<ProxyError> ErrorOfReason(std::string_view reason) {
  const auto found =
      std::ranges::find(kTraits, reason, &ProxyErrorTraits::reason);
  if (found == kTraits.end()) return std::nullopt;
  return static_cast<ProxyError>(found - kTraits.begin());
}

http::response<http::string_body> MakeErrorAnswer(ProxyError error,
                                                  const ErrorDetail& detail) {
  const ProxyErrorTraits& traits = GetErrorTraits(error);
  http::response<http::string_body> answer(traits.status, 11);
  answer.set(http::field::content_type, "application/json");
  answer.set(kReasonHeader, traits.reason);
  if (traits.not_run) {
    answer.set(kNotRunHeader, "true");
  } else {
    answer.set(kOutcomeHeader, "unknown");
  }
  if (traits.not_run && traits.status == status::service_unavailable) {
    answer.set(http::field::retry_after, RetryAfterText(detail));
  }
  const std::string_view message =
      detail.sentence.empty() ? traits.message : detail.sentence;
  answer.body() =
      boost::json::serialize(boost::json::object{{"error", message},
                                                 {"reason", traits.reason},
                                                 {"not_run", traits.not_run}});
  answer.prepare_payload();
  return answer;
}

}  // namespace camphor

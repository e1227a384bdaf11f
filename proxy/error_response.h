#ifndef CAMPHORHILL_PROXY_ERROR_RESPONSE_H_
#define CAMPHORHILL_PROXY_ERROR_RESPONSE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// Errors for which a proxy generates the response itself.
enum class ProxyError : std::uint8_t {
  kBadRequest,     ///< the request is malformed or unsafe to pass on
  kHeaderTooLong,  ///< the header exceeds the limit
  kBodyTooLong,    ///< the body exceeds the limit
  kSlowRequest,    ///< the caller did not send it in time
  kKeyMissing,     ///< the route requires an Idempotency-Key
  kNoRoute,        ///< no route matches
  kUnknownKey,     ///< the API key belongs to no team
  kOverQuota,      ///< the team's quota is used up
  kNotReady,       ///< this proxy has no configuration yet
  kStaleKeys,      ///< the configuration may be too old to accept keys
  kNoTarget,       ///< no target is available
  kFull,           ///< the target's slots and queue are full
  kRateLimited,    ///< the request limit that the target names is reached
  kCold,           ///< the target is cold and takes no more requests now
  kEvacuated,      ///< the target's failure domain is evacuated
  kRefused,        ///< the target refused it without running it
  kTooLate,        ///< it could not finish before its deadline
  kConnectFailed,  ///< connecting to the target failed
  kSuspectBusy,    ///< another suspect request is running on the target
  kBuffersFull,    ///< this host has no buffers for it
  kOverloaded,     ///< this host has too little processor time
  kLinkFull,       ///< the link of the target's host has no room for its body
  kDraining,       ///< this host is draining
  kClaimNotMade,   ///< the idempotency key could not be claimed
  kClaimHeld,      ///< another attempt holds the idempotency key
  kClaimUnknown,   ///< unknown whether the key is claimed
  kPoison,         ///< targets died while running this request before
  kTargetBroke,    ///< the connection broke before the response was complete
  kTargetDied,     ///< the target died while running the request
  kBadAnswer,      ///< the target's response is malformed
  kSilent,         ///< the target or its host did not respond in time
  kDeadline,       ///< no response before the deadline
  kCallerGone,     ///< the caller disconnected; never written as a response
};

/// Properties of an error. Immutable value type.
struct ProxyErrorTraits {
  http::status status = http::status::ok;  ///< HTTP status
  std::string_view reason{};               ///< value of X-Camphor-Reason
  std::string_view message{};              ///< human-readable message
  bool not_run = false;  ///< true: no target has run or will run the request
};

/// Returns the properties of an error. Thread-safe.
const ProxyErrorTraits& GetErrorTraits(ProxyError error);

/// Returns true if the response to an error carries Retry-After. Thread-safe.
bool HasRetryAfter(const ProxyErrorTraits& traits);

/// Returns the error with the given reason, or std::nullopt when it is unknown.
/// Thread-safe.
std::optional<ProxyError> FindErrorByReason(std::string_view reason);

/// Optional parts of an error response. Immutable value type.
struct ErrorDetail {
  std::string_view sentence{};  ///< replaces the default message when not empty
  Milliseconds retry_after{1000};  ///< value of Retry-After
  bool fractional_retry_after =
      false;  ///< Retry-After may be a fraction of a second
};

/// Creates the HTTP response for an error. Thread-safe.
http::response<http::string_body> MakeErrorResponse(
    ProxyError error, const ErrorDetail& detail = {});

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_ERROR_RESPONSE_H_

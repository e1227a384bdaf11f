#ifndef CAMPHORHILL_PROXY_ERROR_RESPONSE_H_
#define CAMPHORHILL_PROXY_ERROR_RESPONSE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// Why a proxy itself answers a request.
enum class ProxyError : std::uint8_t {
  kBadRequest,     ///< the request is malformed or unsafe to pass on
  kHeaderTooLong,  ///< its header passes the limit
  kBodyTooLong,    ///< its body passes the limit
  kSlowRequest,    ///< the caller took too long to send it
  kKeyMissing,     ///< the route needs an idempotency key
  kNoRoute,        ///< no route takes it
  kNotReady,       ///< this proxy has no configuration yet
  kNoTarget,       ///< no target takes work
  kFull,           ///< slots and queue of the target are taken
  kRefused,        ///< the target itself refused it without running it
  kTooLate,        ///< it could not end before its deadline
  kConnectFailed,  ///< the target could not be connected to
  kSuspectBusy,    ///< another suspect request runs on the target
  kDraining,       ///< this host is leaving
  kClaimNotMade,   ///< the idempotency key could not be claimed
  kClaimHeld,      ///< another attempt holds the idempotency key
  kClaimUnknown,   ///< it can not be said whether the key is claimed
  kPoison,         ///< targets died under this request before
  kTargetBroke,    ///< the connection broke before the whole answer
  kTargetDied,     ///< the target died under the request
  kBadAnswer,      ///< the target's answer is malformed
  kSilent,         ///< the connection to the host went silent
  kDeadline,       ///< no answer before the deadline
  kCallerGone,     ///< nobody waits for the answer; never sent
};

/// What is told about an error. Immutable value type.
struct ProxyErrorTraits {
  http::status status = http::status::ok;  ///< status code
  std::string_view reason{};               ///< word of X-Camphor-Reason
  std::string_view message{};              ///< sentence for people
  bool not_run = false;  ///< true: no target has run it, nor will
};

/// Status, reason and meaning of an error. Thread safety: any thread.
const ProxyErrorTraits& GetErrorTraits(ProxyError error);

/// The error that a reason names, if it is one. Thread safety: any thread.
std::optional<ProxyError> ErrorOfReason(std::string_view reason);

/// What an error answer holds besides the error. Immutable value type.
struct ErrorDetail {
  std::string_view sentence{};     ///< replaces the usual one when not empty
  Milliseconds retry_after{1000};  ///< when a refused request may come again
  bool fractional_retry_after = false;  ///< may be told in parts of a second
};

/// The answer that tells of an error. Thread safety: any thread.
http::response<http::string_body> MakeErrorAnswer(
    ProxyError error, const ErrorDetail& detail = {});

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_ERROR_RESPONSE_H_

#ifndef CAMPHORHILL_PROXY_REQUEST_DECISION_H_
#define CAMPHORHILL_PROXY_REQUEST_DECISION_H_

#include <cstdint>
#include <string_view>

#include "core/base/time.h"
#include "core/config/config_head.h"

namespace camphor {

enum class ProxyError : std::uint8_t;

/// A proxy's decision on one request, with its context, for logging. Holds
/// views that are valid only during the callback.
struct RequestDecision {
  enum class Kind : std::uint8_t {
    kAnswered,   ///< a complete target response was sent
    kCut,        ///< a target's response was truncated
    kRetried,    ///< an attempt failed and another target is tried
    kRefused,    ///< failed without having run on any target
    kFailed,     ///< failed with an unknown outcome
    kCancelled,  ///< the caller disconnected
  };

  /// Proxy that made the decision.
  enum class Hop : std::uint8_t { kCaller, kTarget };

  Kind kind = Kind::kAnswered;     ///< what was decided
  Hop hop = Hop::kCaller;          ///< deciding proxy
  std::string_view request_id{};   ///< id given by the caller; empty if none
  std::string_view route{};        ///< route name; empty if none matched
  std::string_view pool{};         ///< pool of the last attempt
  std::string_view target{};       ///< target of the last attempt
  std::string_view reason{};       ///< reason code of a failure
  std::uint32_t attempt = 0;       ///< number of attempts so far
  unsigned status = 0;             ///< HTTP status; 0: none
  ConfigVersion version = 0;       ///< configuration version in use
  Microseconds age{0};             ///< time since the request arrived
  Microseconds remaining_time{0};  ///< time until the deadline
  std::uint32_t responses_before =
      0;  ///< responses that the caller's connection owed before this one when
          ///< the request was started (pipelining)
  std::uint32_t in_flight = 0;  ///< requests at the target: of this proxy, or
                                ///< of all hosts when the target is local
  std::uint32_t waiting = 0;    ///< requests queued for the target
  Microseconds usual_latency{
      0};  ///< usual latency of the target as measured by this proxy
};

/// Returns the kind of decision that an error results in. Thread-safe.
RequestDecision::Kind DecisionKindForError(ProxyError error);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_REQUEST_DECISION_H_

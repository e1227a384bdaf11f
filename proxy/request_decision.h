#ifndef CAMPHORHILL_PROXY_REQUEST_DECISION_H_
#define CAMPHORHILL_PROXY_REQUEST_DECISION_H_

#include <cstdint>
#include <string_view>

#include "core/base/time.h"
#include "core/config/config_head.h"

namespace camphor {

enum class ProxyError : std::uint8_t;

/// What a proxy decided about one request, and what it decided by. Holds views:
/// use it at once.
struct RequestDecision {
  enum class Kind : std::uint8_t {
    kAnswered,   ///< a target's answer went to the sender whole
    kCut,        ///< a target's answer ended too soon
    kRetried,    ///< an attempt failed and another target is tried
    kRefused,    ///< ended without having run anywhere
    kFailed,     ///< ended with an unknown outcome
    kCancelled,  ///< nobody waited any more
  };

  /// Which of the two proxies of a request decided.
  enum class Hop : std::uint8_t { kCaller, kTarget };

  Kind kind = Kind::kAnswered;     ///< outcome
  Hop hop = Hop::kCaller;          ///< who decided
  std::string_view request_id{};   ///< as the caller named it; empty if it did
                                   ///< not
  std::string_view route{};        ///< route; empty if none matched
  std::string_view pool{};         ///< pool that it was placed on
  std::string_view target{};       ///< target of the last attempt
  std::string_view reason{};       ///< why it did not go well
  std::uint32_t attempt = 0;       ///< attempts so far
  unsigned status = 0;             ///< status of the answer; 0: none
  ConfigVersion version = 0;       ///< configuration that decided
  Microseconds age{0};             ///< since the request arrived here
  Microseconds remaining_time{0};  ///< until its deadline
  std::uint32_t in_flight = 0;     ///< requests at that target: of this proxy,
                                   ///< or on its own host, of all
  std::uint32_t waiting = 0;       ///< requests that wait for that target
  Microseconds usual_latency{0};   ///< the target's, as this proxy saw it
};

/// What the end of a request by an error comes to. Thread safety: any thread.
RequestDecision::Kind KindOfEnd(ProxyError error);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_REQUEST_DECISION_H_

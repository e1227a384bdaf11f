#ifndef CAMPHORHILL_PROXY_ATTEMPT_RULES_H_
#define CAMPHORHILL_PROXY_ATTEMPT_RULES_H_

#include <cstdint>

#include "core/config/route_rule.h"
#include "core/config/team_table.h"
#include "core/routing/request_sample.h"
#include "core/routing/urgency.h"
#include "proxy/error_response.h"
#include "proxy/proxy_limits.h"

namespace camphor {

/// Maps an error to the outcome reported for the chosen target. Thread-safe.
RequestOutcome ToRequestOutcome(ProxyError error);

/// Returns true when another target may succeed. Thread-safe.
bool IsRetryableOnAnotherTarget(ProxyError error);

/// Counts a failed attempt that reached no target and is therefore not counted
/// as an attempt of its request. Must not be used from two threads for the same
/// request.
void CountFreeRefusal(ProxyError error, std::uint32_t& reached_no_target);

/// Returns the maximum number of attempts of a request of the route.
/// Thread-safe.
std::uint32_t MaxAttempts(const RouteRule& rule, const ProxyLimits& limits);

/// Times of a request that determine its urgency.
struct RequestTimes {
  MonoTime arrival{};   ///< when the header was complete
  MonoTime deadline{};  ///< of the request
  MonoTime now{};       ///< time of the decision
};

/// Returns the urgency of a request in a target's queue. `team` is the caller's
/// team, or null. Thread-safe.
Urgency MakeUrgency(const RouteRule& rule, const TeamSpec* team,
                    const RequestTimes& times);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_ATTEMPT_RULES_H_

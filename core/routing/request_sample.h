#ifndef CAMPHORHILL_CORE_ROUTING_REQUEST_SAMPLE_H_
#define CAMPHORHILL_CORE_ROUTING_REQUEST_SAMPLE_H_

#include <cstdint>

#include "core/base/time.h"
#include "core/routing/effective_routing.h"

namespace camphor {

/// How a request that was sent to a target ended.
enum class RequestOutcome : std::uint8_t {
  kSuccess,     ///< a whole answer below 500
  kError,       ///< a whole answer of 500 or above that is no refusal
  kRefused,     ///< known not run: shed by the target or its host
  kTimeout,     ///< no whole answer within the deadline, or the caller left
                ///< when its objective had passed
  kTargetDied,  ///< the target's connection broke in a way that says it died
  kCancelled,   ///< the caller went away early: says nothing of the target
};

/// One request's result, as evidence for rollouts and balancing.
///
/// Holds indices into the routing that placed the request, so that taking one
/// allocates nothing.
struct RequestSample {
  EffectiveRoutingPtr routing{};  ///< what placed the request
  std::uint32_t route = 0;        ///< index into routing->routes
  std::uint32_t pool = 0;         ///< index into routing->pools
  std::uint32_t group = 0;        ///< index into the pool's groups
  std::uint32_t target = 0;       ///< index into the group's targets
  RequestOutcome outcome = RequestOutcome::kSuccess;  ///< how it ended
  Microseconds latency{0};  ///< from the first byte sent to the last received
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_REQUEST_SAMPLE_H_

#ifndef CAMPHORHILL_CORE_ROUTING_REQUEST_SAMPLE_H_
#define CAMPHORHILL_CORE_ROUTING_REQUEST_SAMPLE_H_

#include <cstdint>

#include "core/base/time.h"
#include "core/routing/effective_routing.h"

namespace camphor {

/// Outcome of a request that was sent to a target.
enum class RequestOutcome : std::uint8_t {
  kSuccess,     ///< complete response with a status below 500
  kError,       ///< complete response with a status of 500 or above, other than
                ///< a refusal
  kRefused,     ///< known not to have run: shed by the target or its host
  kTimeout,     ///< no complete response within the deadline, or the caller
                ///< disconnected after the latency objective had passed
  kTargetDied,  ///< the connection broke in a way that shows the target died
  kCancelled,  ///< the caller disconnected early; not evidence about the target
};

/// Result of one request, used as evidence by rollouts and load balancing.
///
/// Holds indices into the routing that placed the request, so that recording a
/// sample does not allocate.
struct RequestSample {
  EffectiveRoutingPtr routing{};  ///< routing that placed the request
  std::uint32_t route = 0;        ///< index into routing->routes
  std::uint32_t pool = 0;         ///< index into routing->pools
  std::uint32_t group = 0;        ///< index into the pool's groups
  std::uint32_t target = 0;       ///< index into the group's targets
  RequestOutcome outcome = RequestOutcome::kSuccess;  ///< result of the request
  Microseconds latency{
      0};  ///< from the first byte sent to the last byte received
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_REQUEST_SAMPLE_H_

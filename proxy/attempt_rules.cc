#include "proxy/attempt_rules.h"

#include <functional>

#include "core/config/priority.h"

namespace camphor {
namespace {

/// Refusals by the hosts of targets that are cold, evacuated or behind a full
/// link, which do not count as attempts of a request: they reach no target, and
/// a request with a single attempt has to be able to go to another one.
constexpr std::uint32_t kMaxFreeRefusals = 2;

/// Number of priorities that a route can have. The priority of a team goes
/// before that of the route.
constexpr std::uint32_t kRoutePriorities = kLowestPriority + 1;

}  // namespace

RequestOutcome ToRequestOutcome(ProxyError error) {
  switch (error) {
    case ProxyError::kNoTarget:
    case ProxyError::kFull:
    case ProxyError::kRateLimited:
    case ProxyError::kCold:
    case ProxyError::kEvacuated:
    case ProxyError::kRefused:
    case ProxyError::kTooLate:
    case ProxyError::kConnectFailed:
    case ProxyError::kBuffersFull:
    case ProxyError::kOverloaded:
    case ProxyError::kLinkFull:
    case ProxyError::kDraining:
      return RequestOutcome::kRefused;
    case ProxyError::kTargetBroke:
    case ProxyError::kBadAnswer:
      return RequestOutcome::kError;
    case ProxyError::kTargetDied:
      return RequestOutcome::kTargetDied;
    case ProxyError::kDeadline:
      return RequestOutcome::kTimeout;
    default:
      return RequestOutcome::kCancelled;
  }
}

bool IsRetryableOnAnotherTarget(ProxyError error) {
  switch (error) {
    case ProxyError::kNoTarget:
    case ProxyError::kFull:
    case ProxyError::kRateLimited:
    case ProxyError::kCold:
    case ProxyError::kEvacuated:
    case ProxyError::kRefused:
    case ProxyError::kTooLate:
    case ProxyError::kConnectFailed:
    case ProxyError::kSuspectBusy:
    case ProxyError::kBuffersFull:
    case ProxyError::kOverloaded:
    case ProxyError::kLinkFull:
    case ProxyError::kDraining:
    case ProxyError::kTargetBroke:
    case ProxyError::kTargetDied:
    case ProxyError::kBadAnswer:
    case ProxyError::kSilent:
    case ProxyError::kDeadline:
      return true;
    default:
      return false;
  }
}

void CountFreeRefusal(ProxyError error, std::uint32_t& reached_no_target) {
  const bool free = error == ProxyError::kCold ||
                    error == ProxyError::kEvacuated ||
                    error == ProxyError::kLinkFull;
  if (free && reached_no_target < kMaxFreeRefusals) ++reached_no_target;
}

std::uint32_t MaxAttempts(const RouteRule& rule, const ProxyLimits& limits) {
  return rule.attempts > 0 ? rule.attempts : limits.attempts;
}

Urgency MakeUrgency(const RouteRule& rule, const TeamSpec* team,
                    const RequestTimes& times) {
  const MonoTime wanted = times.arrival + rule.target_latency;
  const bool useful = rule.target_latency.count() > 0 &&
                      wanted < times.deadline && wanted > times.now;
  const std::uint32_t team_priority = team == nullptr ? 0 : team->priority;
  return {.priority = team_priority * kRoutePriorities + rule.priority,
          .soft_deadline = useful ? wanted : times.deadline,
          .deadline = times.deadline,
          .work_class =
              static_cast<std::uint32_t>(std::hash<RouteName>()(rule.name))};
}

}  // namespace camphor

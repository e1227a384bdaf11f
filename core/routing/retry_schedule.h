#ifndef CAMPHORHILL_CORE_ROUTING_RETRY_SCHEDULE_H_
#define CAMPHORHILL_CORE_ROUTING_RETRY_SCHEDULE_H_

#include "core/base/time.h"

namespace camphor {

/// Chooses the Retry-After of requests that are refused because a rate is used
/// up. Each refused request gets the next free place, so that the repetitions
/// arrive at the rate that is available. Intended for up to some thousand
/// refusals a second of one pool. Not thread-safe; the current time is passed
/// in.
class RetrySchedule {
 public:
  /// Returns the time until a place is expected to be free, at most two
  /// seconds: the limit may have ended by then. `per_second` is the rate of
  /// places. @pre per_second > 0.
  Milliseconds Next(double per_second, MonoTime now);

 private:
  MonoTime next_free_{};  ///< time of the next place that is not given away
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_RETRY_SCHEDULE_H_

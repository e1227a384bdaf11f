#include "node/platform_sync/poll_schedule.h"

#include <algorithm>

namespace camphor {

bool PollSchedule::Due(MonoTime now, Role role) {
  if (call_pending_) return false;
  Milliseconds delay{0};
  if (retrying_) {
    delay = retry_delay_;
  } else if (role.ready) {
    delay = role.poller ? options_.poll : options_.slow_poll;
  }
  if (last_ != MonoTime{} && now - last_ < Jittered(delay)) return false;
  call_pending_ = true;
  return true;
}

void PollSchedule::Finished(bool succeeded, MonoTime now) {
  call_pending_ = false;
  last_ = now;
  jitter_ = std::uniform_real_distribution<double>(0, 1)(random_);
  if (succeeded) {
    retrying_ = false;
    failures_ = 0;
    retry_delay_ = options_.initial_retry_delay;
    return;
  }
  ++failures_;
  retry_delay_ = retrying_
                     ? std::min(retry_delay_ * 2, options_.max_retry_delay)
                     : options_.initial_retry_delay;
  retrying_ = true;
}

Milliseconds PollSchedule::Jittered(Milliseconds delay) {
  // Scale the delay by a factor between 0.5 and 1, so that hosts that failed
  // together do not retry together.
  const double scale = 0.5 + 0.5 * jitter_;
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(delay.count()) * scale));
}

}  // namespace camphor

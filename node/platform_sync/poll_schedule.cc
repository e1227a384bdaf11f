#include "node/platform_sync/poll_schedule.h"

#include <algorithm>

namespace camphor {

bool PollSchedule::Due(MonoTime now, Role role) {
  if (under_way_) return false;
  Milliseconds delay{0};
  if (retrying_) {
    delay = retry_;
  } else if (role.ready) {
    delay = role.poller ? options_.poll : options_.slow_poll;
  }
  if (last_ != MonoTime{} && now - last_ < Jittered(delay)) return false;
  under_way_ = true;
  return true;
}

void PollSchedule::Finished(bool succeeded, MonoTime now) {
  under_way_ = false;
  last_ = now;
  jitter_ = std::uniform_real_distribution<double>(0, 1)(random_);
  if (succeeded) {
    retrying_ = false;
    failures_ = 0;
    retry_ = options_.first_retry;
    return;
  }
  ++failures_;
  retry_ = retrying_ ? std::min(retry_ * 2, options_.last_retry)
                     : options_.first_retry;
  retrying_ = true;
}

Milliseconds PollSchedule::Jittered(Milliseconds delay) {
  // Between a half and all of the delay, so that hosts that failed together do
  // not return together.
  const double scale = 0.5 + 0.5 * jitter_;
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(delay.count()) * scale));
}

}  // namespace camphor

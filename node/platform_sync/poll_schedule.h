#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_POLL_SCHEDULE_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_POLL_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "core/base/time.h"

namespace camphor {

/// Decides when this host reads the platform's head of the configuration.
///
/// A host that can not serve yet reads at once and tries again after a jittered
/// exponential delay; the few pollers of a failure domain read often, every
/// other host rarely. Owned by the decisions thread; time is passed in.
class PollSchedule {
 public:
  struct Options {
    Milliseconds poll{1000};         ///< between two reads of a poller
    Milliseconds slow_poll{60000};   ///< between two reads of another host
    Milliseconds first_retry{100};   ///< after a failure; doubles each time
    Milliseconds last_retry{10000};  ///< longest delay after a failure
    std::uint64_t random_seed = 1;   ///< makes the jitter repeatable
  };

  /// What the schedule depends on.
  struct Role {
    bool ready = false;   ///< this host may serve
    bool poller = false;  ///< this host polls for its failure domain
  };

  explicit PollSchedule(Options options)
      : options_(options),
        retry_(options.first_retry),
        random_(options.random_seed) {}

  /// True when a read is to be started now; it then counts as under way. Thread
  /// safety: one thread.
  bool Due(MonoTime now, Role role);

  /// The read that was started has ended. Thread safety: one thread.
  void Finished(bool succeeded, MonoTime now);

  /// Reads that failed since the last success. Thread safety: one thread.
  std::uint64_t failures() const { return failures_; }

 private:
  Milliseconds Jittered(Milliseconds delay);

  Options options_;
  Milliseconds retry_;      ///< delay after the next failure
  std::mt19937_64 random_;  ///< source of the jitter
  bool under_way_ = false;  ///< a read was started and has not ended
  bool retrying_ = false;   ///< the last read failed
  MonoTime last_{};         ///< end of the last read
  double jitter_ = 0;       ///< of the delay that runs, 0 to 1
  std::uint64_t failures_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_POLL_SCHEDULE_H_

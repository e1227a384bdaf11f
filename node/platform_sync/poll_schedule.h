#ifndef CAMPHORHILL_NODE_PLATFORM_SYNC_POLL_SCHEDULE_H_
#define CAMPHORHILL_NODE_PLATFORM_SYNC_POLL_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "core/base/time.h"

namespace camphor {

/// Decides when this host reads the configuration head from the platform.
///
/// A host that cannot serve yet reads immediately. Failed reads are retried
/// with jittered exponential backoff. The few pollers of a failure domain read
/// often, all other hosts rarely. Must be used from one thread; the caller
/// passes in the current time.
class PollSchedule {
 public:
  struct Options {
    Milliseconds poll{1000};                ///< read interval of a poller
    Milliseconds slow_poll{60000};          ///< read interval of any other host
    Milliseconds initial_retry_delay{100};  ///< delay after the first failure
    Milliseconds max_retry_delay{10000};    ///< limit of the doubling delay
    std::uint64_t random_seed = 1;          ///< seed of the jitter
  };

  /// State of this host that determines the read interval.
  struct Role {
    bool ready = false;   ///< this host can serve callers
    bool poller = false;  ///< this host polls for its failure domain
  };

  explicit PollSchedule(Options options)
      : options_(options),
        retry_delay_(options.initial_retry_delay),
        random_(options.random_seed) {}

  /// Returns true if a read is due; the caller must then start it and report
  /// its end with Finished(). Must be called from one thread.
  bool Due(MonoTime now, Role role);

  /// Reports the end of the read in progress. Must be called from one thread.
  void Finished(bool succeeded, MonoTime now);

  /// Number of consecutive failed reads. Must be called from one thread.
  std::uint64_t failures() const { return failures_; }

 private:
  Milliseconds Jittered(Milliseconds delay);

  Options options_;
  Milliseconds retry_delay_;   ///< delay after the next failure
  std::mt19937_64 random_;     ///< source of the jitter
  bool call_pending_ = false;  ///< a read is in progress
  bool retrying_ = false;      ///< the last read failed
  MonoTime last_{};            ///< end of the last read
  double jitter_ = 0;          ///< jitter of the current delay, 0 to 1
  std::uint64_t failures_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_PLATFORM_SYNC_POLL_SCHEDULE_H_

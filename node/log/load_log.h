#ifndef CAMPHORHILL_NODE_LOG_LOAD_LOG_H_
#define CAMPHORHILL_NODE_LOG_LOAD_LOG_H_

#include <cstddef>
#include <cstdint>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "node/log/log_sink.h"
#include "proxy/load/loop_load.h"

namespace camphor {

/// Writes a log line while the threads of a process are behind, subject to a
/// rate limit, with what tells the causes apart. Must be used from one thread.
class LoadLog {
 public:
  struct Options {
    LogSink* log = nullptr;          ///< must outlive this object
    Milliseconds behind_after{250};  ///< lag or wait from which lines are
                                     ///< written
    TokenBucket::Options budget{.per_second = 1, .burst = 2};  ///< line rate
  };

  /// State of the decisions thread and of what the proxy thread shares with it,
  /// at the time of a measurement.
  struct Decisions {
    Microseconds tick_age{0};      ///< since the last tick began
    Microseconds thread_cpu{0};    ///< processor time since the start
    std::size_t proxy_tasks = 0;   ///< tasks queued by the proxy thread
    std::size_t mesh_tasks = 0;    ///< tasks queued by the mesh thread
    Microseconds limiter_wait{0};  ///< longest wait of the proxy thread for the
                                   ///< quotas' lock since the last measurement
  };

  /// @pre options.log is set.
  explicit LoadLog(Options options);

  /// Writes a line if one of the threads is behind.
  void Write(const LoopLoad& load, const Decisions& decisions, MonoTime now);

 private:
  bool IsBehind(const LoopLoad& load, const Decisions& decisions) const;

  Options options_;
  TokenBucket budget_;
  std::uint64_t suppressed_ = 0;
  LoopLoad last_;  ///< the previous measurement
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_LOG_LOAD_LOG_H_

#ifndef CAMPHORHILL_HARNESS_CPU_LIMIT_H_
#define CAMPHORHILL_HARNESS_CPU_LIMIT_H_

#include <sys/types.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "core/base/time.h"

namespace camphor {

/// Holds a child process to a share of one processor, as a small host would:
/// once the process has used its share of a period, it is suspended until the
/// next one. Its peers notice nothing but the delay.
///
/// Must be used from one thread. The process must not be suspended or resumed
/// by others meanwhile.
class CpuLimit {
 public:
  struct Options {
    pid_t process = 0;         ///< a running child of this process
    double processors = 0.1;   ///< processor time per time
    Milliseconds period{100};  ///< time after which the share is renewed
  };

  explicit CpuLimit(Options options);

  /// Ends the limit and resumes the process.
  ~CpuLimit();
  CpuLimit(const CpuLimit&) = delete;
  CpuLimit& operator=(const CpuLimit&) = delete;

 private:
  void Run();
  bool AwaitStop(Milliseconds time);

  Options options_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;  ///< guarded by mutex_
  std::thread thread_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_CPU_LIMIT_H_

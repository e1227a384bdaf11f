#ifndef CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_
#define CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_

#include <chrono>
#include <ctime>

#include "core/base/time.h"

namespace camphor {

/// Returns the processor time that the calling thread has used. Zero if the
/// operating system does not tell. Thread-safe.
inline Microseconds ThreadCpuTime() {
  timespec used{};
  if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0)
    return Microseconds(0);
  return std::chrono::duration_cast<Microseconds>(
      Seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_

#ifndef CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_
#define CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_

#include <sys/resource.h>

#include <chrono>

#include "core/base/time.h"

namespace camphor {

/// Returns the processor time that the calling thread has used. Zero if the
/// operating system does not tell. Thread-safe.
inline Microseconds ThreadCpuTime() {
  rusage used{};
  if (getrusage(RUSAGE_THREAD, &used) != 0) return Microseconds(0);
  const auto time = [](const timeval& value) {
    return Seconds(value.tv_sec) + Microseconds(value.tv_usec);
  };
  return time(used.ru_utime) + time(used.ru_stime);
}

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_

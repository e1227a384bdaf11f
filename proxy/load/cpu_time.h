#ifndef CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_
#define CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_

#include <sys/resource.h>

#include <chrono>

#include "core/base/time.h"

namespace camphor {

/// Returns the processor time of the process (RUSAGE_SELF) or of the calling
/// thread (RUSAGE_THREAD). Zero if the operating system does not tell.
/// Thread-safe.
inline Microseconds CpuTime(int who) {
  rusage used{};
  if (getrusage(who, &used) != 0) return Microseconds(0);
  const auto time = [](const timeval& value) {
    return Seconds(value.tv_sec) + Microseconds(value.tv_usec);
  };
  return time(used.ru_utime) + time(used.ru_stime);
}

inline Microseconds ThreadCpuTime() { return CpuTime(RUSAGE_THREAD); }
inline Microseconds ProcessCpuTime() { return CpuTime(RUSAGE_SELF); }

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_CPU_TIME_H_

#ifndef CAMPHORHILL_CORE_BASE_TIME_H_
#define CAMPHORHILL_CORE_BASE_TIME_H_

#include <chrono>

namespace camphor {

/// Monotonic time, used for all intervals. Code in core/ gets the current time
/// as a parameter and never reads a clock.
using MonoTime = std::chrono::steady_clock::time_point;

/// Calendar time, used for times given by operators and for times that hosts
/// compare with each other.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_TIME_H_

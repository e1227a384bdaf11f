#ifndef CAMPHORHILL_CORE_BASE_TIME_H_
#define CAMPHORHILL_CORE_BASE_TIME_H_

#include <chrono>

namespace camphor {

/// Time that never jumps; used for every interval. The core is handed it and
/// never reads a clock.
using MonoTime = std::chrono::steady_clock::time_point;

/// Calendar time; used for what operators write and for what hosts compare with
/// each other.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_TIME_H_

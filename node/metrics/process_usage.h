#ifndef CAMPHORHILL_NODE_METRICS_PROCESS_USAGE_H_
#define CAMPHORHILL_NODE_METRICS_PROCESS_USAGE_H_

#include <compare>
#include <cstdint>

namespace camphor {

/// What this process has used of the machine. Immutable value type.
struct ProcessUsage {
  double cpu_seconds = 0;            ///< user and system time since the start
  std::uint64_t resident_bytes = 0;  ///< memory that is resident now
  std::uint64_t threads = 0;         ///< threads now

  /// Reads it from the system. Thread safety: any thread.
  static ProcessUsage Read();

  auto operator<=>(const ProcessUsage&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_PROCESS_USAGE_H_

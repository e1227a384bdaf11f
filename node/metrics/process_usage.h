#ifndef CAMPHORHILL_NODE_METRICS_PROCESS_USAGE_H_
#define CAMPHORHILL_NODE_METRICS_PROCESS_USAGE_H_

#include <compare>
#include <cstdint>

namespace camphor {

/// Resource usage of this process. Immutable value type.
struct ProcessUsage {
  double cpu_seconds = 0;            ///< user and system time since the start
  std::uint64_t resident_bytes = 0;  ///< current resident memory
  std::uint64_t threads = 0;         ///< current number of threads

  /// Reads the current usage from the operating system. Thread-safe.
  static ProcessUsage Read();

  auto operator<=>(const ProcessUsage&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_METRICS_PROCESS_USAGE_H_

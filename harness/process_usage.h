#ifndef CAMPHORHILL_HARNESS_PROCESS_USAGE_H_
#define CAMPHORHILL_HARNESS_PROCESS_USAGE_H_

#include <sys/types.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace camphor {

/// Resources that a process uses. Immutable value type.
struct ProcessUsage {
  std::uint64_t peak_bytes = 0;  ///< highest resident memory since its start
  std::size_t descriptors = 0;   ///< open file descriptors

  auto operator<=>(const ProcessUsage&) const = default;

  /// Reads the usage from /proc. Returns nullopt if the process does not exist.
  /// Thread-safe.
  static std::optional<ProcessUsage> Read(pid_t pid);
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_PROCESS_USAGE_H_

#ifndef CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_FLEET_USAGE_H_
#define CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_FLEET_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

#include "core/base/time.h"
#include "harness/fleet.h"

namespace camphor {

/// What one host has used since its process started. Immutable value type.
struct HostUsage {
  pid_t pid = 0;                 ///< process; another one after a restart
  double cpu_s = 0;              ///< user and system time
  std::uint64_t rss_bytes = 0;   ///< resident memory now
  std::uint64_t mesh_bytes = 0;  ///< protocol bytes of the mesh, both ways
};

/// What a fleet has used at one moment. Immutable value type.
struct FleetUsage {
  MonoTime at{};                             ///< when it was read
  std::map<std::string, HostUsage> hosts{};  ///< by name
  std::uint64_t platform_reads = 0;          ///< that the platform served
  std::uint64_t platform_writes = 0;         ///< that the platform served
  std::map<std::string, std::uint64_t>
      bytes_by_purpose{};  ///< encoded bytes of all hosts

  /// Reads it from the system, the hosts' metrics and the platform's counters.
  /// Thread safety: the fleet's thread.
  static FleetUsage Read(Fleet& fleet);
};

/// Mean use between two readings, over the hosts that ran all the while.
/// Immutable value type.
struct UsageRates {
  double seconds = 0;                    ///< between the readings
  double cpu_percent_per_host = 0;       ///< of one core
  double mesh_bytes_per_host_per_s = 0;  ///< both ways
  double rss_mb_max = 0;                 ///< of any host, at the second reading
  double rss_mb_median = 0;              ///< of the hosts, likewise
  double platform_reads_per_s = 0;       ///< of the whole fleet
  double platform_writes_per_s = 0;      ///< of the whole fleet

  /// Thread safety: any thread.
  static UsageRates Between(const FleetUsage& before, const FleetUsage& after);
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_FLEET_USAGE_H_

#ifndef CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_FLEET_USAGE_H_
#define CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_FLEET_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

#include "core/base/time.h"
#include "harness/fleet.h"

namespace camphor {

/// Resource usage of one host since its process started. Immutable value type.
struct HostUsage {
  pid_t pid = 0;                 ///< process id; changes on a restart
  double cpu_s = 0;              ///< user and system time, seconds
  std::uint64_t rss_bytes = 0;   ///< resident memory now
  std::uint64_t mesh_bytes = 0;  ///< mesh protocol bytes, sent and received
};

/// Resource usage of a fleet at one time. Immutable value type.
struct FleetUsage {
  MonoTime at{};                             ///< time of the reading
  std::map<std::string, HostUsage> hosts{};  ///< by name
  std::uint64_t platform_reads = 0;          ///< served by the platform
  std::uint64_t platform_writes = 0;         ///< served by the platform
  std::map<std::string, std::uint64_t>
      bytes_by_purpose{};  ///< encoded bytes of all hosts

  /// Reads /proc, the metrics of the hosts and the counters of the platform.
  /// Must be called on the fleet's thread.
  static FleetUsage Read(Fleet& fleet);
};

/// Mean usage rates between two readings, over the hosts that were not
/// restarted in between. Immutable value type.
struct UsageRates {
  double seconds = 0;                    ///< time between the readings
  double cpu_percent_per_host = 0;       ///< of one core
  double mesh_bytes_per_host_per_s = 0;  ///< sent and received
  double rss_mb_max = 0;             ///< highest of any host, second reading
  double rss_mb_median = 0;          ///< median of the hosts, second reading
  double platform_reads_per_s = 0;   ///< of the whole fleet
  double platform_writes_per_s = 0;  ///< of the whole fleet

  /// Thread-safe.
  static UsageRates Between(const FleetUsage& before, const FleetUsage& after);
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_FLEET_USAGE_H_

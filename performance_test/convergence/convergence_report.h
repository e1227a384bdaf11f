#ifndef CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_REPORT_H_
#define CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// Times at which each host was restarted or resumed, by host name.
using RestartTimes = std::map<std::string, std::vector<EventTime>>;

/// Convergence of the configuration changes of a run. Immutable value type.
struct ConvergenceReport {
  std::vector<double>
      times_ms{};           ///< convergence times, sorted; one per change
                            ///< and host, measured from the sending of
                            ///< the edit or a later restart of the host
  std::uint64_t never = 0;  ///< (change, host) pairs that never converged
  std::uint64_t stale_hosts =
      0;  ///< hosts that did not end on the newest version
  std::uint64_t reversions = 0;  ///< times a host served an older version than
                                 ///< before, across its restarts

  /// Computes the report from a history. @pre `hosts` are all hosts of the run.
  /// Thread-safe.
  static ConvergenceReport Of(const History& history,
                              const std::vector<std::string>& hosts,
                              const RestartTimes& restarts);

  /// Returns the given quantile (0 to 1) of times_ms in milliseconds; 0 if it
  /// is empty. Thread-safe.
  double Quantile(double fraction) const;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_REPORT_H_

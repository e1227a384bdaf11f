#ifndef CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_REPORT_H_
#define CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// Times at which each host was started or thawed again, by name.
using RestartTimes = std::map<std::string, std::vector<EventTime>>;

/// What the history of a run says of its changes. Immutable value type.
struct ConvergenceReport {
  std::vector<double> times_ms{};  ///< sorted; one for each change and host,
                                   ///< from the sending of the edit, or from
                                   ///< the host's restart if that was later
  std::uint64_t never = 0;  ///< pairs of change and host that never converged
  std::uint64_t stale_hosts =
      0;                         ///< hosts whose last version is not the newest
  std::uint64_t reversions = 0;  ///< times that a host served less than before,
                                 ///< over all its lives

  /// @pre `hosts` are all the hosts of the run. Thread safety: any thread.
  static ConvergenceReport Of(const History& history,
                              const std::vector<std::string>& hosts,
                              const RestartTimes& restarts);

  /// The time that the given part of the pairs took at most; 0 without any.
  /// Thread safety: any thread.
  double Quantile(double part) const;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_CONVERGENCE_CONVERGENCE_REPORT_H_

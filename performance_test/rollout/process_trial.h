#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_PROCESS_TRIAL_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_PROCESS_TRIAL_H_

#include <string>

#include "core/base/time.h"

namespace camphor {

/// One rollout through real processes.
struct ProcessTrialOptions {
  std::string name;      ///< for the output and the request ids
  bool bad = false;      ///< whether it is to be rolled back
  std::string faults{};  ///< control body for each new target; empty for none
  bool one_target = false;   ///< only one new target has the faults
  Seconds time_allowed{60};  ///< from the order to complete_by
  Seconds bake{5};           ///< watched at full share
};

/// How it went.
struct ProcessTrialResult {
  bool ran = false;           ///< the fleet started and took the tables
  std::string stage{};        ///< the last one that the first host told
  std::string sentence{};     ///< why it stands there
  double seconds = 0;         ///< from the order to its end
  bool full_in_time = false;  ///< it had its full share by complete_by
};

/// Starts a platform, four camphord and eight targets, orders the rollout under
/// load and waits for its end. Thread safety: one at a time.
ProcessTrialResult RunProcessTrial(const ProcessTrialOptions& options);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_PROCESS_TRIAL_H_

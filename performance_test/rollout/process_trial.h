#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_PROCESS_TRIAL_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_PROCESS_TRIAL_H_

#include <string>

#include "core/base/time.h"

namespace camphor {

/// A rollout to run with real processes.
struct ProcessTrialOptions {
  std::string name;      ///< name in the output and in request ids
  bool bad = false;      ///< whether the rollout has to be rolled back
  std::string faults{};  ///< fault request sent to each faulty new target;
                         ///< empty for none
  bool faults_on_one_target = false;  ///< only one new target gets the faults
  Seconds time_allowed{60};           ///< from the order to complete_by
  Seconds bake{5};                    ///< observation time at full share
};

/// Outcome of a rollout with real processes.
struct ProcessTrialResult {
  bool ran = false;        ///< the fleet started and accepted the tables
  std::string stage{};     ///< last stage that the first host reported
  std::string sentence{};  ///< reason of that stage, or of a failure to start
  double seconds = 0;      ///< from the order to the last reported stage
  bool full_in_time = false;  ///< the new version had full share by complete_by
};

/// Starts a platform, four camphord processes and eight targets, orders the
/// rollout under load and waits for its end. Only one call may run at a time.
ProcessTrialResult RunProcessTrial(const ProcessTrialOptions& options);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_PROCESS_TRIAL_H_

#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_TRIAL_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_TRIAL_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/rollout/rollout_manager.h"
#include "performance_test/rollout/rollout_kind.h"
#include "performance_test/rollout/workload.h"

namespace camphor {

/// Outcome of a simulated rollout.
struct TrialResult {
  bool ended = false;        ///< the rollout ended, as done or rolled back
  bool rolled_back = false;  ///< it ended as rolled back
  bool in_time = false;      ///< done, and at full share by complete_by
  double bad_share = 0;      ///< bad_requests / requests of the pool
  double new_share = 0;  ///< requests of the new version / requests of the pool
                         ///< until the end, at least time_allowed_s
  std::uint64_t bad_requests =
      0;  ///< requests of the new version while its defect showed
  double rollback_delay_s = 0;  ///< from the first request with the defect to
                                ///< the rollback on all hosts
  RolloutReason reason{};       ///< reason of the last stage
};

/// State of a rollout after one step.
struct TrialSample {
  double seconds = 0;              ///< time since the rollout was ordered
  RolloutRecord record{};          ///< record in force
  std::uint64_t new_requests = 0;  ///< in this step
  std::uint64_t new_failures = 0;  ///< in this step
  std::uint64_t old_requests = 0;  ///< in this step
  std::uint64_t old_failures = 0;  ///< in this step
  double evidence = 0;  ///< evidence against the new version; 1 rolls back
};

/// A rollout that RolloutManager runs against the pool model.
struct TrialOptions {
  Workload workload{};       ///< pool and its load
  RolloutKind kind{};        ///< defect and confounder
  std::uint64_t seed = 1;    ///< seed of all random numbers
  RolloutOptions rollout{};  ///< settings of the decision logic
  std::function<void(const TrialSample&)>
      on_sample{};  ///< called after each step; may be empty
};

/// Simulates one rollout until it ends, or until a time limit. Thread-safe.
TrialResult RunTrial(const TrialOptions& options);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_TRIAL_H_

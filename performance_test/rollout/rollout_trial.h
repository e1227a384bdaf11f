#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_TRIAL_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_TRIAL_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/rollout/rollout_manager.h"
#include "performance_test/rollout/rollout_kind.h"
#include "performance_test/rollout/workload.h"

namespace camphor {

/// How one rollout went.
struct TrialResult {
  bool ended = false;        ///< it ended as done or rolled back
  bool rolled_back = false;  ///< as rolled back
  bool in_time = false;      ///< full share by complete_by, and done
  double bad_share = 0;      ///< requests it got while bad, of the pool's
  double new_share = 0;  ///< requests it got, of those of the pool until the
                         ///< time allowed is over
  std::uint64_t bad_requests = 0;  ///< requests it got while bad
  double take_back_s = 0;  ///< from when it showed bad to its end everywhere
  RolloutReason reason{};  ///< why it ended
};

/// One moment of a recorded rollout.
struct TrialMoment {
  double seconds = 0;              ///< since the order
  RolloutRecord record{};          ///< in force
  std::uint64_t new_requests = 0;  ///< in this step
  std::uint64_t new_failures = 0;  ///< in this step
  std::uint64_t old_requests = 0;  ///< in this step
  std::uint64_t old_failures = 0;  ///< in this step
  double evidence = 0;             ///< against the new version
};

/// One rollout of the real RolloutManager against the model of a pool.
struct TrialOptions {
  Workload workload{};       ///< what is modelled
  RolloutKind kind{};        ///< what happens
  std::uint64_t seed = 1;    ///< makes it repeatable
  RolloutOptions rollout{};  ///< settings of the decision logic
  std::function<void(const TrialMoment&)> record{};  ///< takes each moment
};

/// Runs a trial to its end. Thread safety: any thread.
TrialResult RunTrial(const TrialOptions& options);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_ROLLOUT_TRIAL_H_

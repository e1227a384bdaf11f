#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_TRIAL_SUMMARY_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_TRIAL_SUMMARY_H_

#include <map>
#include <string>
#include <vector>

#include "performance_test/rollout/rollout_kind.h"
#include "performance_test/rollout/rollout_trial.h"

namespace camphor {

/// Aggregates the results of simulated rollouts and formats them. Not
/// thread-safe.
class TrialSummary {
 public:
  /// Adds one rollout; `index` is its position in the measurement.
  void Add(const RolloutKind& kind, std::size_t index,
           const TrialResult& result);

  /// Table with one row per kind.
  std::string Table() const;

  /// Overall figures as "key=value" pairs on one line.
  std::string Line() const;

  /// Good versions not done in time and bad versions not rolled back, one line
  /// each.
  std::string WrongDecisions() const;

 private:
  struct Row {
    RolloutKind kind{};
    std::vector<TrialResult> results{};
    std::vector<std::size_t> indices{};
  };

  std::map<std::string, Row> rows_;
};

/// Nearest-rank quantile of the values; 0 if there are none.
double Quantile(std::vector<double> values, double fraction);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_TRIAL_SUMMARY_H_

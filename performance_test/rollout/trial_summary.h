#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_TRIAL_SUMMARY_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_TRIAL_SUMMARY_H_

#include <map>
#include <string>
#include <vector>

#include "performance_test/rollout/rollout_kind.h"
#include "performance_test/rollout/rollout_trial.h"

namespace camphor {

/// Adds up how many rollouts went; prints them. Not thread safe.
class TrialSummary {
 public:
  /// Adds one rollout; `index` is its place in the measurement.
  void Add(const RolloutKind& kind, std::size_t index,
           const TrialResult& result);

  /// One row for each kind.
  std::string Table() const;

  /// "key=value" pairs in one line.
  std::string Line() const;

  /// Rolled back good versions and missed bad ones, one line each.
  std::string Faults() const;

 private:
  struct Row {
    RolloutKind kind{};
    std::vector<TrialResult> results{};
    std::vector<std::size_t> indices{};
  };

  std::map<std::string, Row> rows_;
};

/// The value below which the given part of the values lies; 0 without values.
double Quantile(std::vector<double> values, double part);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_TRIAL_SUMMARY_H_

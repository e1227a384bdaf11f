#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_POOL_MODEL_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_POOL_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/rollout/evidence_report.h"
#include "performance_test/rollout/latency_model.h"
#include "performance_test/rollout/random_source.h"
#include "performance_test/rollout/rollout_kind.h"
#include "performance_test/rollout/workload.h"

namespace camphor {

inline constexpr const char* kOldVersion = "v1";
inline constexpr const char* kNewVersion = "v2";

/// One target of the modelled pool.
struct ModelTarget {
  TargetId id;                  ///< name
  HostId host;                  ///< it has a host of its own
  bool is_new = false;          ///< runs the new version
  double speed = 1;             ///< its own slowdown
  double errors = 1;            ///< factor on the error rate
  double cold_since = -1;       ///< start of its cold start; negative: not yet
  double burst_until = -1;      ///< end of its spell
  bool burst_fails = false;     ///< the spell is one of errors
  bool bad_host = false;        ///< stands on a bad host
  bool bad_host_fails = false;  ///< which fails; otherwise it is slow
  double dies_at = -1;          ///< host's death; negative: never
};

/// How requests are split. Filled in from the record in force.
struct ModelShares {
  std::vector<double> new_share{};  ///< by route
  std::vector<bool> in_use{};       ///< by target: gets requests if it is alive
};

/// What one step gave.
struct ModelStep {
  std::vector<EvidenceCell> cells{};  ///< as the proxies would report them
  std::uint64_t requests = 0;         ///< of the pool
  std::uint64_t new_requests = 0;     ///< of the new version
  std::uint64_t bad_requests = 0;     ///< of the new version while it was bad
  bool shows_bad = false;             ///< the version showed that it is bad
};

/// A pool's targets under load, with the noise and faults of one kind of
/// rollout.
///
/// It gives counts at the interface of the decision logic and knows nothing of
/// it. Not thread safe.
class PoolModel {
 public:
  /// @pre the workload outlives this.
  PoolModel(const Workload& workload, const RolloutKind& kind,
            std::uint64_t seed);

  /// Advances to `now`, in seconds since the order. `bake_since` is when full
  /// share was reached; negative before.
  ModelStep Advance(double now, double length, double bake_since,
                    const ModelShares& shares);

  /// All targets, alive or not.
  const std::vector<ModelTarget>& targets() const { return targets_; }

  /// True when the target's host is known as dead.
  bool IsKnownDead(const ModelTarget& target, double now) const;

  /// What disturbs this rollout.
  Confounder confounder() const { return confounder_; }

 private:
  /// What holds for all targets in a step.
  struct Climate {
    double load = 1;      ///< factor on the request rate
    double errors = 1;    ///< factor on the error rate
    double failures = 0;  ///< requests failed by a shared dependency
    double slowdown = 1;  ///< factor on all latency
  };

  void AddTargets(bool is_new, int count);
  void ChooseBadHost();
  void ChooseDeaths();
  Climate ClimateAt(double now, double length);
  void DisturbTarget(ModelTarget& target, double now, double length, bool used);
  double SlowdownOf(const ModelTarget& target, double now) const;
  double FailuresOf(const ModelTarget& target, double now) const;
  bool IsBadNow(const ModelTarget& target, std::size_t route, double load,
                double now, double bake_since);
  void RunTarget(ModelTarget& target, const std::vector<double>& rates,
                 double now, double length, double bake_since,
                 const Climate& climate, ModelStep& step);

  const Workload* workload_;
  RolloutKind kind_;
  RandomSource random_;
  LatencyModel latency_;
  NoiseLoad noise_;
  Confounder confounder_;
  std::vector<ModelTarget> targets_;
  std::size_t rarest_route_ = 0;
  std::size_t bad_route_ = 0;
  double later_at_ = 0;
  double bake_part_ = 0;
  double error_drift_ = 0;
  double latency_drift_ = 0;
  double fault_at_ = 0;
  double swing_phase_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_POOL_MODEL_H_

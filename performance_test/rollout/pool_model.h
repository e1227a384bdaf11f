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
  TargetId id;          ///< id, unique in the pool
  HostId host;          ///< host, which runs no other target
  bool is_new = false;  ///< whether it runs the new version
  double speed = 1;     ///< factor on its service times
  double errors = 1;    ///< factor on its error rate
  double cold_start_at =
      -1;  ///< start of its cold start; negative before the first request
  double burst_until = -1;  ///< end of its current burst
  bool burst_causes_errors =
      false;              ///< burst causes errors rather than slowness
  bool bad_host = false;  ///< whether its host is faulty
  bool bad_host_causes_errors =
      false;  ///< faulty host causes errors rather than slowness
  double host_fails_at = -1;  ///< time of the host's failure; negative for none
};

/// Split of requests between the versions, derived from the rollout record in
/// force.
struct TrafficSplit {
  std::vector<double> new_share{};  ///< share of the new version, by route
  std::vector<bool>
      in_use{};  ///< by target: receives requests while it is alive
};

/// Outcome of one simulation step.
struct ModelStep {
  std::vector<EvidenceCell> cells{};  ///< counts, as proxies would report them
  std::uint64_t requests = 0;         ///< requests of the pool
  std::uint64_t new_requests = 0;     ///< requests of the new version
  std::uint64_t bad_requests =
      0;  ///< requests of the new version while its defect showed
  bool defect_visible =
      false;  ///< whether the new version's defect affected any request
};

/// Simulates the targets of a pool under load, with the noise and faults of one
/// kind of rollout.
///
/// Produces the counts that the decision logic takes as input; does not depend
/// on that logic. Not thread-safe.
class PoolModel {
 public:
  /// @pre `workload` outlives this object.
  PoolModel(const Workload& workload, const RolloutKind& kind,
            std::uint64_t seed);

  /// Simulates `length` seconds from `now`, in seconds since the rollout was
  /// ordered. `bake_started_at` is the time at which the new version reached
  /// its full share; negative before.
  ModelStep Advance(double now, double length, double bake_started_at,
                    const TrafficSplit& shares);

  /// All targets, alive or not.
  const std::vector<ModelTarget>& targets() const { return targets_; }

  /// Whether the failure of the target's host has been detected at `now`.
  bool IsDetectedDead(const ModelTarget& target, double now) const;

  /// Confounder of this rollout.
  Confounder confounder() const { return confounder_; }

 private:
  /// Conditions that all targets share during a step.
  struct SharedConditions {
    double load = 1;    ///< factor on the request rate
    double errors = 1;  ///< factor on the error rate
    double failures =
        0;  ///< fraction of requests that a shared dependency fails
    double slowdown = 1;  ///< factor on all service times
  };

  void AddTargets(bool is_new, int count);
  void ChooseBadHost();
  void ChooseHostFailures();
  SharedConditions UpdateSharedConditions(double now, double length);
  void UpdateDisturbances(ModelTarget& target, double now, double length,
                          bool used);
  double TargetSlowdown(const ModelTarget& target, double now) const;
  double TargetFailureRate(const ModelTarget& target, double now) const;
  bool ShowsDefect(const ModelTarget& target, std::size_t route, double load,
                   double now, double bake_started_at);
  void SimulateTarget(ModelTarget& target, const std::vector<double>& rates,
                      double now, double length, double bake_started_at,
                      const SharedConditions& shared, ModelStep& step);

  const Workload* workload_;
  RolloutKind kind_;
  RandomSource random_;
  LatencyModel latency_;
  NoiseParameters noise_;
  Confounder confounder_;
  std::vector<ModelTarget> targets_;
  std::size_t rarest_route_ = 0;
  std::size_t bad_route_ = 0;
  double delayed_defect_at_ = 0;
  double bake_defect_fraction_ = 0;
  double error_drift_ = 0;
  double latency_drift_ = 0;
  double shared_fault_at_ = 0;
  double swing_phase_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_POOL_MODEL_H_

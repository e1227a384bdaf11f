#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WORKLOAD_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WORKLOAD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/json_fields.h"

namespace camphor {

/// Workload of one route of the simulated pool.
struct RouteWorkload {
  std::string name;           ///< unique
  double share = 1;           ///< relative weight among the routes
  double latency_ms = 30;     ///< median service time
  double spread = 0.5;        ///< standard deviation of the log service time
  double error_rate = 0.002;  ///< fraction of requests that fail on any version
};

/// Variation over time and between targets.
struct NoiseParameters {
  double error_drift =
      0.3;  ///< standard deviation of the log of the shared error rate
  double drift_s = 30;  ///< time constant of the drifts
  double latency_drift =
      0.05;  ///< standard deviation of the log of the shared latency
  double target_speed =
      0.04;  ///< standard deviation of the log of a target's slowdown
  double target_errors =
      0.2;  ///< standard deviation of the log of a target's error rate factor
  double bursts_per_hour = 3;  ///< bursts of errors or slowness at one target
  double burst_s = 5;          ///< mean length of a burst
  double burst_errors =
      0.1;  ///< fraction of requests that fail in a burst of errors
  double burst_slowdown = 2;  ///< slowdown in a burst of slowness
  double cold_start_s = 15;   ///< decay time constant of a cold start
  double cold_slowdown = 2;   ///< slowdown when a target starts
  double cold_errors =
      0.01;  ///< additional fraction of requests that fail when a target starts
};

/// Severity of the defects of bad versions.
struct BadVersionParameters {
  double gross_failure =
      0.25;  ///< additional fraction of requests that fail with a gross defect
  double gross_slowdown = 3;  ///< slowdown by a gross defect
  double mild_failure =
      0.03;  ///< additional fraction of requests that fail with a mild defect
  double mild_slowdown = 1.5;  ///< slowdown by a mild defect
  double load_threshold =
      0.6;  ///< fraction of normal load from which kUnderLoad defects show
};

/// Disturbances that are not the new version's fault.
struct ConfounderParameters {
  double cold_start_s = 40;  ///< decay time constant of a long cold start
  double cold_slowdown = 4;  ///< slowdown at the beginning of a long cold start
  double cold_errors =
      0.04;  ///< additional fraction of requests that fail at its beginning
  double shared_errors =
      0.08;  ///< fraction of requests that a shared dependency fails
  double shared_slowdown = 2.5;  ///< slowdown by a shared dependency
  double shared_s = 120;         ///< length of a fault of a shared dependency
  double load_swing = 1.6;       ///< factor on the load at the peak of a swing
  double deaths = 3;             ///< number of hosts of each version that die
  double detect_s = 3;           ///< time until a host's death is detected
  double restart_s = 120;        ///< time until a dead host is back
  double few_requests = 0.1;     ///< factor on the request rate
  double noise_factor =
      3;  ///< factor on latency drift, target speed and bursts
  double bad_host_errors =
      0.3;  ///< additional fraction of requests that fail on a faulty host
  double bad_host_slowdown = 4;  ///< slowdown on a faulty host
  double with_bad =
      0.2;  ///< fraction of bad versions that also have a confounder
};

/// Workload of the rollout simulation, read from JSON with comments.
struct Workload {
  std::string name = "default";  ///< name of the workload
  double request_rate = 400;     ///< requests per second of the pool
  int old_targets = 8;           ///< targets of the old version
  int new_targets = 8;           ///< targets of the new version
  int slots = 10;                ///< requests that a target runs concurrently
  int queue = 20;                ///< maximum queue length of a target
  double time_allowed_s = 1800;  ///< from the order to complete_by
  double outcome_within_s =
      0;  ///< if positive: limit from order to outcome; sets time_allowed_s
  double step_s = 2;  ///< simulation step, also the delay of a record
  int bake_s = 600;   ///< observation time at full share
  std::vector<RouteWorkload> routes{
      {.name = "list", .share = 0.55, .latency_ms = 30},
      {.name = "read", .share = 0.3, .latency_ms = 20},
      {.name = "write", .share = 0.14, .latency_ms = 60},
      {.name = "export",
       .share = 0.01,
       .latency_ms = 120}};           ///< routes of the pool
  NoiseParameters noise{};            ///< noise in every rollout
  BadVersionParameters bad{};         ///< severity of defects
  ConfounderParameters confounder{};  ///< confounders of good versions
  std::vector<std::string> kinds{};   ///< kinds to run; empty for all

  /// Parses a workload; missing fields keep their defaults. On failure returns
  /// std::nullopt and adds every error to `errors`.
  static std::optional<Workload> Parse(std::string_view text,
                                       std::vector<FieldError>& errors);
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WORKLOAD_H_

#ifndef CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WORKLOAD_H_
#define CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WORKLOAD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/json_fields.h"

namespace camphor {

/// One route of the modelled pool.
struct RouteLoad {
  std::string name;           ///< unique
  double share = 1;           ///< weight among the routes
  double latency_ms = 30;     ///< median service time
  double spread = 0.5;        ///< deviation of the service time's logarithm
  double error_rate = 0.002;  ///< requests that fail on any version
};

/// How far the model departs from independent, equal targets.
struct NoiseLoad {
  double error_drift = 0.3;  ///< deviation of the shared error rate's logarithm
  double drift_s = 30;       ///< time over which it drifts
  double latency_drift = 0.05;  ///< the same for the shared latency
  double target_speed = 0.04;   ///< deviation of a target's own speed
  double target_errors = 0.2;   ///< deviation of a target's own error rate
  double bursts_per_hour = 3;   ///< spells of errors or slowness at one target
  double burst_s = 5;           ///< length of a spell
  double burst_errors = 0.1;    ///< requests that fail in a spell
  double burst_slowdown = 2;    ///< slowdown in a spell
  double cold_start_s = 15;     ///< decay time of a cold start
  double cold_slowdown = 2;     ///< slowdown as a target starts
  double cold_errors = 0.01;    ///< requests that fail as a target starts
};

/// How bad a bad version is.
struct BadLoad {
  double gross_failure = 0.25;  ///< requests that fail at a gross one
  double gross_slowdown = 3;    ///< its slowdown
  double mild_failure = 0.03;   ///< requests that fail at a mild one
  double mild_slowdown = 1.5;   ///< its slowdown
  double load_threshold = 0.6;  ///< part of the normal load of a target from
                                ///< which one that is bad under load shows it
};

/// What good versions go through.
struct ConfounderLoad {
  double cold_start_s = 40;      ///< decay time of a long cold start
  double cold_slowdown = 4;      ///< slowdown as such a target starts
  double cold_errors = 0.04;     ///< requests that fail as it starts
  double shared_errors = 0.08;   ///< requests that a shared dependency fails
  double shared_slowdown = 2.5;  ///< slowdown by a shared dependency
  double shared_s = 120;         ///< length of such a fault
  double load_swing = 1.6;       ///< load at the top of a swing
  double deaths = 3;             ///< hosts that die of each version
  double detect_s = 3;           ///< until a dead host is known as such
  double restart_s = 120;        ///< until it is back
  double few_requests = 0.1;     ///< part of the request rate that is left
  double noise_factor = 3;       ///< noisy latency: drift, bursts, spread
  double bad_host_errors = 0.3;  ///< requests that fail on a bad host
  double bad_host_slowdown = 4;  ///< slowdown on a bad host
  double with_bad = 0.2;  ///< bad versions that meet such a thing as well
};

/// A workload of the rollout model, read from JSON with comments.
struct Workload {
  std::string name = "default";  ///< for the output
  double request_rate = 400;     ///< requests a second of the pool
  int old_targets = 8;           ///< targets of the old version
  int new_targets = 8;           ///< targets of the new version
  int slots = 10;                ///< requests that a target runs at a time
  int queue = 20;                ///< requests that wait at a target
  double time_allowed_s = 1800;  ///< from the order to complete_by
  double outcome_within_s = 0;   ///< set: the order allows so long until its
                                 ///< outcome, in place of the line above
  double step_s = 2;  ///< of the model; a record is in force one step later
  int bake_s = 600;   ///< watched at full share
  std::vector<RouteLoad> routes{
      {.name = "list", .share = 0.55, .latency_ms = 30},
      {.name = "read", .share = 0.3, .latency_ms = 20},
      {.name = "write", .share = 0.14, .latency_ms = 60},
      {.name = "export", .share = 0.01, .latency_ms = 120}};  ///< its routes
  NoiseLoad noise{};                 ///< noise of every rollout
  BadLoad bad{};                     ///< sizes of badness
  ConfounderLoad confounder{};       ///< what good versions go through
  std::vector<std::string> kinds{};  ///< only these; empty for all

  /// Reads a workload; what is not there keeps its default. Returns nothing
  /// and lists every fault in `errors` when something is wrong.
  static std::optional<Workload> Parse(std::string_view text,
                                       std::vector<FieldError>& errors);
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_ROLLOUT_WORKLOAD_H_

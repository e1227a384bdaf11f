#include "core/rollout/short_rollout.h"

namespace camphor {
namespace {

/// The latency tolerances are wide because the targets of one version differ
/// more among themselves than a good version differs from its predecessor,
/// while a bad version is several times slower.
constexpr Tolerance kFailures{.ratio = 1.5, .excess = 0.02};
constexpr Tolerance kLatency{.ratio = 2, .excess = 0.05};
constexpr Tolerance kTail{.ratio = 3, .excess = 0.05};

/// No target is excluded, because there are too few requests. Instead, the
/// limit max_target_evidence is chosen so that one bad target does not suffice
/// for a rollback but two do.
SequentialJudge::Options ShortJudgeOptions() {
  return {.false_alarm_probability = 0.01,
          .max_target_evidence = 0.45,
          .outlier_fraction = 0,
          .min_outliers = 0,
          .comparison = {.tolerance = {kFailures, kLatency, kTail},
                         .baseline_half_life = 500,
                         .new_half_life = 200,
                         .shared_fault_probability = 0.2}};
}

}  // namespace

RolloutOptions ShortRolloutOptions() {
  return {.ramp = {.canary_share_ppm = 50'000,
                   .min_canary_rate = 10,
                   .control_share_ppm = 200'000,
                   .max_route_share_ppm = 150'000,
                   .max_route_control_ppm = 300'000,
                   .even_fraction = 0.5,
                   .step_factor = 2.1,
                   .canary_fraction = 0.72,
                   .min_canary_duration = Milliseconds(1'000),
                   .min_step_duration = Milliseconds(300),
                   .min_route_weight = 0.01},
          .evaluation_interval = Milliseconds(200),
          .max_tick_gap = Milliseconds(2'000),
          .owner_warmup = Milliseconds(600),
          .no_targets_timeout = Milliseconds(3'000),
          .ejection_duration = Milliseconds(5'000),
          .final_threshold_during_bake = true,
          .judge = ShortJudgeOptions(),
          .min_cold_start = Milliseconds(2'000)};
}

}  // namespace camphor

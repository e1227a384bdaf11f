#include "core/rollout/short_rollout.h"

namespace camphor {
namespace {

/// Targets of one version differ in speed by more than a good version differs
/// from the one before it; a bad one is several times slower.
constexpr Tolerance kFailures{.ratio = 1.5, .excess = 0.02};
constexpr Tolerance kLatency{.ratio = 2, .excess = 0.05};
constexpr Tolerance kTail{.ratio = 3, .excess = 0.05};

/// One bad target alone does not suffice (target_limit), two do: there are too
/// few requests to leave any of them out.
SequentialJudge::Options ShortJudge() {
  return {.false_alarm = 0.01,
          .target_limit = 0.45,
          .outlier_share = 0,
          .least_outliers = 0,
          .comparison = {.tolerance = {kFailures, kLatency, kTail},
                         .baseline_half_life = 500,
                         .new_half_life = 200,
                         .shared_fault = 0.2}};
}

}  // namespace

RolloutOptions ShortRolloutOptions() {
  return {.ramp = {.canary_share_ppm = 50'000,
                   .canary_rate = 10,
                   .control_share_ppm = 200'000,
                   .most_route_share_ppm = 150'000,
                   .most_route_control_ppm = 300'000,
                   .even_part = 0.5,
                   .step = 2.1,
                   .canary_part = 0.72,
                   .min_canary_duration = Milliseconds(1'000),
                   .min_step_duration = Milliseconds(300),
                   .least_route_weight = 0.01},
          .evaluation_interval = Milliseconds(200),
          .longest_gap = Milliseconds(2'000),
          .owner_warmup = Milliseconds(600),
          .no_targets = Milliseconds(3'000),
          .ejection = Milliseconds(5'000),
          .doubt_ends_bake = true,
          .judge = ShortJudge(),
          .shortest_cold_start = Milliseconds(2'000)};
}

}  // namespace camphor

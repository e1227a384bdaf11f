#include "core/rollout/short_rollout.h"

namespace camphor {

RolloutOptions ShortRollout() {
  return {.ramp = {.canary_share_ppm = 50'000,
                   .control_share_ppm = 200'000,
                   .most_route_share_ppm = 100'000,
                   .most_route_control_ppm = 300'000,
                   .even_part = 0.5,
                   .step = 2.1,
                   .canary_part = 0.72,
                   .shortest_canary = Milliseconds(1'000),
                   .shortest_step = Milliseconds(300),
                   .least_route_weight = 0.01},
          .block = Milliseconds(200),
          .longest_gap = Milliseconds(2'000),
          .settle = Milliseconds(600),
          .no_targets = Milliseconds(3'000),
          .ejection = Milliseconds(5'000),
          .shortest_cold_start = Milliseconds(2'000)};
}

}  // namespace camphor

#ifndef CAMPHORHILL_CORE_ROLLOUT_SHORT_ROLLOUT_H_
#define CAMPHORHILL_CORE_ROLLOUT_SHORT_ROLLOUT_H_

#include "core/rollout/rollout_tracker.h"

namespace camphor {

/// Settings of rollouts that have seconds from the order to the outcome.
///
/// What the new version gets before it must have shown itself is bounded as a
/// part of the requests between order and outcome: the canary is small and
/// long, the ramp late and short, and evidence comes several times a second.
/// docs/architecture/rollout.md works it out. Thread safety: any thread.
RolloutOptions ShortRolloutOptions();

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_SHORT_ROLLOUT_H_

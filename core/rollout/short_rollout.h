#ifndef CAMPHORHILL_CORE_ROLLOUT_SHORT_ROLLOUT_H_
#define CAMPHORHILL_CORE_ROLLOUT_SHORT_ROLLOUT_H_

#include "core/rollout/rollout_tracker.h"

namespace camphor {

/// Returns the settings of rollouts that must complete within seconds of their
/// order.
///
/// The number of requests that an unproven version receives is limited to a
/// fraction of the requests between order and completion: the canary is small
/// and long, the ramp late and short, and evidence is evaluated several times
/// per second. Derivation in docs/architecture/rollout.md. Thread-safe.
RolloutOptions ShortRolloutOptions();

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_SHORT_ROLLOUT_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_EVALUATION_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_EVALUATION_H_

#include <cstdint>

#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// What the owner of a rollout knew when it evaluated the evidence. Immutable
/// value type.
struct RolloutEvaluation {
  RolloutId id;                                 ///< evaluated rollout
  RolloutStage stage = RolloutStage::kPending;  ///< stage after the evaluation
  std::uint32_t share_ppm = 0;   ///< share of the new version, in millionths
  std::uint32_t hosts = 0;       ///< hosts whose evidence it includes
  double evidence = 0;           ///< against the new version; 1 rolls it back
  RolloutReason strongest{};     ///< route and signal with the most evidence
  Milliseconds time_left{0};     ///< until the share must be complete
  Milliseconds in_stage_for{0};  ///< time since the stage began

  auto operator<=>(const RolloutEvaluation&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_EVALUATION_H_

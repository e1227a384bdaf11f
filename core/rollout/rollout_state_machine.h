#ifndef CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_STATE_MACHINE_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_STATE_MACHINE_H_

#include <cstdint>
#include <memory>

#include "core/replication/rollout_record.h"

namespace camphor {

/// Events that advance or end a rollout.
enum class RolloutEvent : std::uint8_t {
  kTargetsReady,  ///< the new version has targets and the rollout may start
  kCanaryPassed,  ///< the canary ran long enough without sufficient evidence
                  ///< against it
  kFullShareReached,  ///< the new version has its full share
  kBakePassed,        ///< the bake at full share ran long enough
  kRollBack,  ///< rollback due to the evidence, the operator or the deadline
};

/// State machine of one rollout's stages and the transitions between them.
///
/// Both final stages, done and rolled back, have no outgoing transitions. Not
/// thread-safe.
class RolloutStateMachine {
 public:
  RolloutStateMachine();
  ~RolloutStateMachine();
  RolloutStateMachine(RolloutStateMachine&&) noexcept;
  RolloutStateMachine& operator=(RolloutStateMachine&&) noexcept;

  /// Processes an event. Returns false and changes nothing if the current stage
  /// has no transition for it.
  bool Process(RolloutEvent event);

  /// Moves to the stage of a merged record. A merged stage is never lower than
  /// the current one, except that a recorded outcome replaces any other stage.
  void Adopt(RolloutStage stage);

  RolloutStage stage() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_STATE_MACHINE_H_

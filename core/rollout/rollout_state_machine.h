#ifndef CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_STATE_MACHINE_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_STATE_MACHINE_H_

#include <cstdint>
#include <memory>

#include "core/replication/rollout_record.h"

namespace camphor {

/// What may happen to a rollout.
enum class RolloutEvent : std::uint8_t {
  kTargetsReady,  ///< the new version has targets, and traffic was seen
  kCanaryPassed,  ///< the canary ran long enough with nothing against it
  kFullShare,     ///< the new version has its full share
  kBakePassed,    ///< it was watched long enough at full share
  kCondemned,     ///< the evidence, the operator or the deadline rolls it back
};

/// The stages of one rollout and what leads from one to the next.
///
/// Both ends are final: no event leads out of done or rolled back. Not thread
/// safe.
class RolloutStateMachine {
 public:
  RolloutStateMachine();
  ~RolloutStateMachine();
  RolloutStateMachine(RolloutStateMachine&&) noexcept;
  RolloutStateMachine& operator=(RolloutStateMachine&&) noexcept;

  /// Applies an event. Returns false, and changes nothing, when the stage does
  /// not take it.
  bool Process(RolloutEvent event);

  /// Goes to the stage of a merged record, which never lies below this one,
  /// but that a recorded outcome replaces any other.
  void Adopt(RolloutStage stage);

  /// The stage now.
  RolloutStage stage() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_STATE_MACHINE_H_

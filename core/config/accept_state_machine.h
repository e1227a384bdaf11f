#ifndef CAMPHORHILL_CORE_CONFIG_ACCEPT_STATE_MACHINE_H_
#define CAMPHORHILL_CORE_CONFIG_ACCEPT_STATE_MACHINE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "core/config/config_head.h"

namespace camphor {

/// Result of trying to accept a configuration edit.
enum class AcceptOutcome : std::uint8_t {
  kAccepted,     ///< the edit became the head; later edits may have replaced it
  kConflict,     ///< another edit was accepted first; this one had no effect
  kUnavailable,  ///< the retries were exhausted; the edit had no effect
  kUnknown,      ///< a commit response was lost and the result of the commit
                 ///< could not be determined
};

/// State machine that makes one configuration edit the head.
///
/// The snapshot is stored before the commit. The commit is conditional on the
/// revision of the head and on the operation id being unused. After a lost
/// commit response, the operation is read back before the same conditional
/// commit is sent again.
///
/// Performs no I/O: the caller executes each step when its hook is called and
/// reports the result with the matching On...() method. Not thread-safe.
class AcceptStateMachine {
 public:
  struct Options {
    ConfigVersion base_version = 0;     ///< version that the edit is based on
    std::uint32_t max_failures = 8;     ///< failed steps before giving up
    std::function<void()> read_head{};  ///< reads the head row
    std::function<void()> store_object{};    ///< stores the snapshot
    std::function<void()> commit{};          ///< sends the conditional commit
    std::function<void()> read_operation{};  ///< reads the operation row
    std::function<void()> schedule_retry{};  ///< calls Retry() after a delay
    std::function<void(AcceptOutcome)> finish{};  ///< called once, at the end
  };

  /// @pre All hooks are set. A hook must not call back into the state machine
  /// before it returns.
  explicit AcceptStateMachine(Options options);
  ~AcceptStateMachine();

  /// Starts with reading the head.
  /// @pre Called once, before any other method.
  void Start();

  /// The head row was read; `version` is 0 if there is no head.
  void OnHead(ConfigVersion version);
  /// The snapshot was stored.
  void OnObjectStored();
  /// The commit took effect.
  void OnCommitted();
  /// The commit had no effect because one of its conditions did not hold.
  void OnCommitConflict();
  /// The commit response was lost: the commit may or may not have taken effect.
  void OnCommitResponseLost();
  /// The operation row exists: the edit was accepted.
  void OnOperationFound();
  /// The operation row does not exist.
  void OnOperationMissing();
  /// The step failed without effect, or the response to a read or to storing
  /// the snapshot was lost.
  void OnStepFailed();
  /// The delay of `schedule_retry` has elapsed.
  void Retry();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_ACCEPT_STATE_MACHINE_H_

#ifndef CAMPHORHILL_CORE_CONFIG_ACCEPT_STATE_MACHINE_H_
#define CAMPHORHILL_CORE_CONFIG_ACCEPT_STATE_MACHINE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "core/config/config_head.h"

namespace camphor {

/// How the acceptance of an edit ended.
enum class AcceptOutcome : std::uint8_t {
  kAccepted,     ///< the edit is the head, or was when it was accepted
  kConflict,     ///< another edit won: nothing was written
  kUnavailable,  ///< the platform refused for too long: nothing was written
  kUnknown,      ///< a commit's answer was lost and could not be settled
};

/// Decides the steps by which one edit becomes the head, each answer at a time.
///
/// The snapshot is stored before the commit, the commit is conditional on the
/// head's revision and on the operation being new, and a lost answer is settled
/// by reading the operation back before the same conditional commit is sent
/// again. Without input or output: steps leave through hooks, answers come as
/// calls. One thread.
class AcceptStateMachine {
 public:
  struct Options {
    ConfigVersion base_version = 0;     ///< version that the edit started from
    std::uint32_t max_failures = 8;     ///< failed steps until it gives up
    std::function<void()> read_head{};  ///< reads the head row
    std::function<void()> store_object{};    ///< stores the snapshot
    std::function<void()> commit{};          ///< sends the conditional commit
    std::function<void()> read_operation{};  ///< reads the operation's row
    std::function<void()> schedule_retry{};  ///< calls Retry after a delay
    std::function<void(AcceptOutcome)> finish{};  ///< called once, at the end
  };

  /// @pre all hooks are set; none calls back into this before it returns.
  explicit AcceptStateMachine(Options options);
  ~AcceptStateMachine();

  /// Begins. @pre called once, before any answer.
  void Start();

  /// The head row was read; version 0 when there is none.
  void OnHead(ConfigVersion version);
  /// The snapshot is stored.
  void OnObjectStored();
  /// The commit took effect.
  void OnCommitted();
  /// A condition of the commit did not hold.
  void OnCommitConflict();
  /// The commit's answer was lost: it may or may not have taken effect.
  void OnCommitResponseLost();
  /// The operation's row is there: the edit was accepted.
  void OnOperationFound();
  /// The operation's row is not there.
  void OnOperationMissing();
  /// The step failed without effect, or was a read or a store whose answer was
  /// lost.
  void OnStepFailed();
  /// The delay that `schedule_retry` asked for is over.
  void Retry();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_ACCEPT_STATE_MACHINE_H_

#ifndef CAMPHORHILL_STORE_ACCEPT_TASK_H_
#define CAMPHORHILL_STORE_ACCEPT_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "core/base/backoff.h"
#include "core/config/accept_state_machine.h"
#include "store/config_repository.h"

namespace camphor {

/// Asynchronous task that submits one edit: executes the steps chosen by an
/// AcceptStateMachine as platform calls. Used by ConfigRepository.
///
/// Responses may arrive on different threads, one at a time; the mutex orders
/// each of them before the step that follows. Pending calls keep the object
/// alive.
class AcceptTask : public std::enable_shared_from_this<AcceptTask> {
 public:
  /// @pre the object is owned by a std::shared_ptr.
  AcceptTask(const ConfigRepository::Options& options, std::uint64_t seed,
             ConfigEdit edit, std::function<void(const AcceptResult&)> done);

  /// Starts the first step. Must be called once.
  void Start();

 private:
  using Step = void (AcceptTask::*)();

  // Called by the machine's hooks. The step runs after the machine has
  // returned, since hooks must not call back into the machine.
  void SetNextStep(Step step) { next_step_ = step; }
  template <typename Event>
  void Advance(const Event& event);

  void ReadHead();
  void OnHead(const PlatformResponse& response);
  void StoreObject();
  void Commit();
  void OnCommit(const PlatformResponse& response);
  void ReadOperation();
  void OnOperation(const PlatformResponse& response);
  void OnStepFailure(const PlatformResponse& response);
  void Wait();
  void Finish();
  void ReadCurrentHead();
  void ReadBaseVersion();
  void FetchTables(const ConfigHead& head,
                   std::optional<ConfigSnapshot>* tables, Step next);
  void FinishConflict();

  ConfigRepository::Options options_;
  ConfigEdit edit_;
  std::string encoded_tables_;
  ConfigHead head_;
  std::function<void(const AcceptResult&)> done_;
  std::minstd_rand random_;
  Backoff backoff_;
  std::mutex mutex_;
  Step next_step_ = nullptr;
  std::uint64_t revision_ = 0;
  ConfigHead current_head_{};
  std::optional<ConfigSnapshot> base_tables_;
  std::optional<ConfigSnapshot> current_tables_;
  std::string failure_reason_;
  AcceptOutcome outcome_ = AcceptOutcome::kUnknown;
  AcceptStateMachine machine_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_ACCEPT_TASK_H_

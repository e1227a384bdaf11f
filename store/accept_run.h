#ifndef CAMPHORHILL_STORE_ACCEPT_RUN_H_
#define CAMPHORHILL_STORE_ACCEPT_RUN_H_

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

/// One edit on its way to be accepted: takes the steps that an
/// AcceptStateMachine decides on, against the platform. Used by
/// ConfigRepository.
///
/// Answers may come on several threads, one at a time; the lock orders them
/// with the steps that they cause. Keeps itself alive while a call is out.
class AcceptRun : public std::enable_shared_from_this<AcceptRun> {
 public:
  /// @pre held by a shared pointer.
  AcceptRun(const ConfigRepository::Options& options, std::uint64_t seed,
            ConfigEdit edit, std::function<void(const AcceptResult&)> done);

  /// Takes the first step. Thread safety: call once.
  void Begin();

 private:
  using Step = void (AcceptRun::*)();

  // The machine names the next step; it is taken once the machine is done.
  void Ask(Step step) { next_ = step; }
  template <typename Answer>
  void Feed(const Answer& answer);

  void ReadHead();
  void OnHead(const PlatformAnswer& answer);
  void StoreObject();
  void Commit();
  void OnCommit(const PlatformAnswer& answer);
  void ReadOperation();
  void OnOperation(const PlatformAnswer& answer);
  void FailStep(const PlatformAnswer& answer);
  void Wait();
  void Finish();
  void ReadWinner();
  void ReadBase();
  void FetchTables(const ConfigHead& head,
                   std::optional<ConfigSnapshot>* tables, Step next);
  void FinishConflict();

  ConfigRepository::Options options_;
  ConfigEdit edit_;
  std::string bytes_;
  ConfigHead head_;
  std::function<void(const AcceptResult&)> done_;
  std::minstd_rand random_;
  Backoff backoff_;
  std::mutex mutex_;
  Step next_ = nullptr;
  std::uint64_t revision_ = 0;
  ConfigHead winner_{};
  std::optional<ConfigSnapshot> before_;
  std::optional<ConfigSnapshot> after_;
  std::string reason_;
  AcceptOutcome outcome_ = AcceptOutcome::kUnknown;
  AcceptStateMachine machine_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STORE_ACCEPT_RUN_H_

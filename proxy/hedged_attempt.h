#ifndef CAMPHORHILL_PROXY_HEDGED_ATTEMPT_H_
#define CAMPHORHILL_PROXY_HEDGED_ATTEMPT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "core/base/time.h"
#include "proxy/asio_types.h"
#include "proxy/placed_request.h"
#include "proxy/request_control.h"

namespace camphor {

/// Runs an attempt of a request and, if it is slow, a copy of it (hedge) on
/// another target. Must be used from one thread.
///
/// The first response with a status below 500 wins. The other run is cancelled
/// then and its slot is released without waiting for the relay. A run that
/// fails leaves the decision to the other one; a response of 500 or above is
/// kept until the other run has ended or the deadline has passed.
///
/// Await Begin. If it returns no error, relay the winner's response, then await
/// End of the winner. Await Join in any case before destruction, also before
/// anything that the runs refer to is destroyed.
class HedgedAttempt {
 public:
  enum class Side : std::uint8_t { kFirst, kCopy };

  /// What came of a run: an error, or the status of a response.
  struct Outcome {
    std::optional<ProxyError> error{};
    unsigned status = 0;
  };

  struct Options {
    asio::any_io_executor executor{};
    RequestControl* control = nullptr;  ///< of the request; stops both runs
    MonoTime hedge_at{};  ///< when to ask for a copy, unless the first run has
                          ///< a response or has failed by then
    std::function<std::unique_ptr<RequestRun>(Side, RequestControl&)>
        make_run{};  ///< returns a run with the given control; called with
                     ///< kCopy at most once, and null then means no copy
    std::function<void(Side, const RequestRun&, const Outcome&)>
        on_begun{};  ///< called when a run that was not cancelled has a
                     ///< response or has failed, before its End
    std::function<void(Side, std::optional<unsigned> status)>
        on_lost{};  ///< called when the other run has won over this one; the
                    ///< status is that of its response of 500 or above, if any
  };

  /// @pre every hook and pointer is set and outlives the return of Join.
  explicit HedgedAttempt(Options options);
  ~HedgedAttempt();
  HedgedAttempt(const HedgedAttempt&) = delete;
  HedgedAttempt& operator=(const HedgedAttempt&) = delete;

  /// Returns std::nullopt once a response has won, otherwise the error of the
  /// request: if one of the runs may have reached a target, an error that says
  /// so.
  asio::awaitable<std::optional<ProxyError>> Begin();

  /// The run whose response is to be relayed. @pre Begin returned no error.
  Side winner() const { return winner_; }
  RequestRun& run();

  /// Waits until the run that was cancelled has released its resources. A
  /// pending connect or check for a dead target is not interrupted, so this may
  /// take four connect timeouts and 50 ms.
  asio::awaitable<void> Join();

 private:
  struct Branch;
  using BranchPtr = std::shared_ptr<Branch>;

  static asio::awaitable<void> RunBranch(BranchPtr branch);
  static asio::awaitable<void> EndBranch(BranchPtr branch);
  void Start(Side side, std::unique_ptr<RequestRun> run,
             std::shared_ptr<RequestControl> control);
  std::shared_ptr<RequestControl> MakeControl() const;
  asio::awaitable<void> WaitForChange(MonoTime until);
  void MaybeStartCopy();
  std::optional<Side> FindWinner() const;
  bool IsDecided() const;
  ProxyError CombineErrors() const;
  void Win(Side side);
  void StopAll();

  Options options_;
  std::shared_ptr<asio::steady_timer> changed_;  ///< cancelled on each change
  std::array<BranchPtr, 2> branches_{};          ///< by side
  std::optional<RequestControl::Scope> scope_;
  Side winner_ = Side::kFirst;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HEDGED_ATTEMPT_H_

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

/// Runs an attempt of a request (primary) and, if it is slow, a second one on
/// another target (hedge). Must be used from one thread.
///
/// The first response with a status below 500 wins. The other attempt is
/// cancelled then and its slot is released without waiting for the relay. An
/// attempt that fails leaves the decision to the other one; a response of 500
/// or above is kept until the other attempt has ended or the deadline has
/// passed.
///
/// Await Begin. If it returns no error, relay the winner's response, then await
/// End of the winner. Await Join in any case before destruction, also before
/// anything that the attempts refer to is destroyed.
class HedgedAttempt {
 public:
  enum class Kind : std::uint8_t { kPrimary, kHedge };

  /// Result of an attempt: an error, or the status of a response.
  struct Outcome {
    std::optional<ProxyError> error{};
    unsigned status = 0;
  };

  struct Options {
    asio::any_io_executor executor{};
    RequestControl* control = nullptr;  ///< of the request; stops both attempts
    MonoTime hedge_at{};  ///< when to ask for the hedge, unless the primary has
                          ///< a response or has failed by then
    MonoTime slow_at{};   ///< when to call on_slow, under the same condition
    std::function<std::unique_ptr<RequestRun>(Kind, RequestControl&)>
        make_run{};  ///< returns what runs an attempt, with the given control;
                     ///< called with kHedge at most once, and null then means
                     ///< no hedge
    std::function<void()> on_slow{};  ///< called at slow_at, and before the
                                      ///< hedge if that is due as well
    std::function<void(Kind, const RequestRun&, const Outcome&)>
        on_begun{};  ///< called when an attempt that was not cancelled has a
                     ///< response or has failed, before its End
    std::function<void(Kind, std::optional<unsigned> status)>
        on_lost{};  ///< called when the other attempt has won over this one;
                    ///< the status is that of its response of 500 or above, if
                    ///< any
  };

  /// @pre every hook and pointer is set and outlives the return of Join.
  explicit HedgedAttempt(Options options);
  ~HedgedAttempt();
  HedgedAttempt(const HedgedAttempt&) = delete;
  HedgedAttempt& operator=(const HedgedAttempt&) = delete;

  /// Returns std::nullopt once a response has won, otherwise the error of the
  /// request: if one of the attempts may have reached a target, an error that
  /// says so.
  asio::awaitable<std::optional<ProxyError>> Begin();

  /// The attempt whose response is to be relayed. @pre Begin returned no error.
  Kind winner() const { return winner_; }
  RequestRun& run();

  /// Waits until the attempt that was cancelled has released its resources. A
  /// pending connect or check for a dead target is not interrupted, so this may
  /// take four connect timeouts and 50 ms.
  asio::awaitable<void> Join();

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  static asio::awaitable<void> RunAttempt(AttemptPtr attempt);
  static asio::awaitable<void> EndAttempt(AttemptPtr attempt);
  void Start(Kind kind, std::unique_ptr<RequestRun> run,
             std::shared_ptr<RequestControl> control);
  std::shared_ptr<RequestControl> MakeControl() const;
  asio::awaitable<void> WaitForChange(MonoTime until);
  void MaybeStartHedge();
  std::optional<Kind> FindWinner() const;
  bool IsDecided() const;
  ProxyError CombineErrors() const;
  void Win(Kind kind);
  void StopAll();

  Options options_;
  std::shared_ptr<asio::steady_timer> changed_;  ///< cancelled on each change
  std::array<AttemptPtr, 2> attempts_{};         ///< by kind
  std::optional<RequestControl::Scope> scope_;
  Kind winner_ = Kind::kPrimary;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HEDGED_ATTEMPT_H_

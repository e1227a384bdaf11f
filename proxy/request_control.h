#ifndef CAMPHORHILL_PROXY_REQUEST_CONTROL_H_
#define CAMPHORHILL_PROXY_REQUEST_CONTROL_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// Carries a request's deadline and its cancellation to whatever step it is in.
///
/// A step that waits says by a Scope how it is to be interrupted. Once stopped,
/// a request stays stopped. One thread.
class RequestControl : public std::enable_shared_from_this<RequestControl> {
 public:
  enum class Stop : std::uint8_t {
    kNone,        ///< goes on
    kDeadline,    ///< its deadline passed
    kCallerGone,  ///< nobody waits for the answer any more
  };

  /// Interrupts one step: the hook runs at most once, at once if the request is
  /// stopped already.
  class Scope {
   public:
    Scope(RequestControl& control, std::function<void()> interrupt);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    RequestControl& control_;
    std::function<void()> outer_;
  };

  RequestControl(const asio::any_io_executor& executor, MonoTime deadline);

  /// Starts the deadline. The request is stopped `last_word` after it, so that
  /// what others decided in time is still heard. @pre owned by a shared
  /// pointer.
  void Start(Milliseconds last_word = Milliseconds(0));

  /// Stops the request, unless it ended or was stopped already.
  void StopNow(Stop reason);

  /// The request ended: nothing interrupts it any more.
  void Finish();

  Stop stopped() const { return stopped_; }
  MonoTime deadline() const { return deadline_; }

  /// Time until the deadline, not below zero.
  Microseconds TimeLeft() const;

 private:
  MonoTime deadline_;
  asio::steady_timer timer_;
  std::function<void()> interrupt_;
  Stop stopped_ = Stop::kNone;
  bool finished_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_REQUEST_CONTROL_H_

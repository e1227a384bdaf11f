#ifndef CAMPHORHILL_PROXY_REQUEST_CONTROL_H_
#define CAMPHORHILL_PROXY_REQUEST_CONTROL_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// Holds the deadline and cancellation state of a request.
///
/// A pending operation registers its interrupt handler with a Scope. A stopped
/// request stays stopped. Must be used from one thread.
class RequestControl : public std::enable_shared_from_this<RequestControl> {
 public:
  enum class Stop : std::uint8_t {
    kNone,        ///< not stopped
    kDeadline,    ///< the deadline passed
    kCallerGone,  ///< the caller disconnected, or another attempt won
  };

  /// Registers the interrupt handler of one operation. The handler runs at most
  /// once, immediately if the request is already stopped.
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

  /// `sender_left` returns true if the sender of the request has closed its
  /// connection; null if that cannot be known. Must not outlive the sender's
  /// session.
  RequestControl(const asio::any_io_executor& executor, MonoTime deadline,
                 std::function<bool()> sender_left = nullptr);

  /// Starts the deadline timer. The request is stopped `deadline_grace` after
  /// the deadline, so that a decision made in time by another host can still
  /// arrive. @pre owned by a std::shared_ptr.
  void Start(Milliseconds deadline_grace = Milliseconds(0));

  /// Stops the request, unless it has finished or was stopped before.
  void StopNow(Stop reason);

  /// Stops the request if its sender has left, though no event has told so yet:
  /// a process that is behind with its work reads a request and the close of
  /// its connection together. Returns true if the request is stopped.
  bool StopIfSenderLeft();

  /// Marks the request as finished; it can no longer be stopped.
  void Finish();

  Stop stopped() const { return stopped_; }
  MonoTime deadline() const { return deadline_; }

  /// Returns the time until the deadline, at least zero.
  Microseconds RemainingTime() const;

 private:
  MonoTime deadline_;
  asio::steady_timer timer_;
  std::function<bool()> sender_left_;
  std::function<void()> interrupt_;
  Stop stopped_ = Stop::kNone;
  bool finished_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_REQUEST_CONTROL_H_

#ifndef CAMPHORHILL_PROXY_PROGRESS_TIMER_H_
#define CAMPHORHILL_PROXY_PROGRESS_TIMER_H_

#include <functional>
#include <memory>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// Calls a hook when a timeout passes without being extended or cleared.
///
/// Extending the timeout only stores a value: the timer is rearmed when it
/// fires early or when the timeout becomes shorter. Must be used from one
/// thread.
class ProgressTimer {
 public:
  /// @pre `on_expiry` stays valid until destruction.
  ProgressTimer(const asio::any_io_executor& executor,
                std::function<void()> on_expiry);
  ~ProgressTimer();
  ProgressTimer(const ProgressTimer&) = delete;
  ProgressTimer& operator=(const ProgressTimer&) = delete;

  /// Sets the timeout, measured from now.
  void Set(Milliseconds limit);

  /// Clears the timeout.
  void Clear();

  /// Returns true if a timeout is set that has not passed.
  bool pending() const;

 private:
  struct State;
  static void Arm(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROGRESS_TIMER_H_

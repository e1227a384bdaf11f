#ifndef CAMPHORHILL_PROXY_PROGRESS_TIMER_H_
#define CAMPHORHILL_PROXY_PROGRESS_TIMER_H_

#include <functional>
#include <memory>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// Calls a hook when a limit passes that nobody moved on or cleared.
///
/// Moving the limit on is a store: the timer itself is armed again only when it
/// fires too early, or when the limit comes nearer. One thread.
class ProgressTimer {
 public:
  /// @pre `on_expiry` stays valid until this is destroyed.
  ProgressTimer(const asio::any_io_executor& executor,
                std::function<void()> on_expiry);
  ~ProgressTimer();
  ProgressTimer(const ProgressTimer&) = delete;
  ProgressTimer& operator=(const ProgressTimer&) = delete;

  /// Sets the limit, counted from now.
  void Set(Milliseconds limit);

  /// Takes the limit away.
  void Clear();

 private:
  struct State;
  static void Arm(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROGRESS_TIMER_H_

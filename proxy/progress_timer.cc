#include "proxy/progress_timer.h"

#include <utility>

namespace camphor {

struct ProgressTimer::State {
  State(const asio::any_io_executor& executor, std::function<void()> hook)
      : timer(executor), on_expiry(std::move(hook)) {}

  asio::steady_timer timer;
  std::function<void()> on_expiry;
  MonoTime limit = MonoTime::max();
  bool armed = false;
};

ProgressTimer::ProgressTimer(const asio::any_io_executor& executor,
                             std::function<void()> on_expiry)
    : state_(std::make_shared<State>(executor, std::move(on_expiry))) {}

ProgressTimer::~ProgressTimer() {
  state_->on_expiry = nullptr;
  state_->timer.cancel();
}

void ProgressTimer::Set(Milliseconds limit) {
  state_->limit = std::chrono::steady_clock::now() + limit;
  if (state_->armed && state_->timer.expiry() <= state_->limit) return;
  Arm(state_);
}

void ProgressTimer::Clear() { state_->limit = MonoTime::max(); }

bool ProgressTimer::pending() const { return state_->limit != MonoTime::max(); }

void ProgressTimer::Arm(const std::shared_ptr<State>& state) {
  state->armed = true;
  state->timer.expires_at(state->limit);  // cancels a pending wait
  state->timer.async_wait([state](const beast::error_code& error) {
    if (error == asio::error::operation_aborted) return;
    state->armed = false;
    if (!state->on_expiry || state->limit == MonoTime::max()) return;
    if (std::chrono::steady_clock::now() < state->limit) {
      Arm(state);
    } else {
      state->limit = MonoTime::max();
      state->on_expiry();
    }
  });
}

}  // namespace camphor

#include "proxy/request_control.h"

#include <algorithm>
#include <utility>

namespace camphor {

RequestControl::Scope::Scope(RequestControl& control,
                             std::function<void()> interrupt)
    : control_(control),
      outer_(std::exchange(control.interrupt_, std::move(interrupt))) {
  if (control_.stopped_ != Stop::kNone) control_.interrupt_();
}

RequestControl::Scope::~Scope() { control_.interrupt_ = std::move(outer_); }

RequestControl::RequestControl(const asio::any_io_executor& executor,
                               MonoTime deadline,
                               std::function<bool()> sender_left)
    : deadline_(deadline),
      timer_(executor),
      sender_left_(std::move(sender_left)) {}

void RequestControl::Start(Milliseconds deadline_grace) {
  timer_.expires_at(deadline_ + deadline_grace);
  timer_.async_wait([weak = weak_from_this()](const beast::error_code& error) {
    if (error) return;
    if (const auto self = weak.lock()) self->StopNow(Stop::kDeadline);
  });
}

void RequestControl::StopNow(Stop reason) {
  if (finished_ || stopped_ != Stop::kNone) return;
  stopped_ = reason;
  if (interrupt_) interrupt_();
}

bool RequestControl::StopIfSenderLeft() {
  if (!finished_ && stopped_ == Stop::kNone && sender_left_ && sender_left_())
    StopNow(Stop::kCallerGone);
  return stopped_ != Stop::kNone;
}

void RequestControl::Finish() {
  finished_ = true;
  sender_left_ = nullptr;
  timer_.cancel();
}

Microseconds RequestControl::RemainingTime() const {
  const auto left = std::chrono::duration_cast<Microseconds>(
      deadline_ - std::chrono::steady_clock::now());
  return std::max(left, Microseconds(0));
}

}  // namespace camphor

#include "core/base/buffer_account.h"

#include <cassert>
#include <chrono>

namespace camphor {

bool BufferAccount::Charge::Resize(std::uint64_t bytes, MonoTime now) {
  if (bytes > bytes_) return Grow(bytes - bytes_, now);
  if (account_ != nullptr) account_->Shrink(bytes_ - bytes);
  bytes_ = bytes;
  return true;
}

BufferAccount::BufferAccount(Options options) : options_(std::move(options)) {
  assert(options_.budget && options_.may_yield && options_.yield);
  options_.budget->accounts_.insert(this);
}

BufferAccount::~BufferAccount() {
  options_.budget->used_ -= held_;
  options_.budget->accounts_.erase(this);
}

bool BufferAccount::Grow(std::uint64_t bytes, MonoTime now) {
  if (yielded_ || !options_.budget->Take(*this, bytes, now)) return false;
  held_ += bytes;
  return true;
}

void BufferAccount::Shrink(std::uint64_t bytes) {
  // What a connection held was given back when it yielded.
  if (yielded_) return;
  assert(bytes <= held_);
  held_ -= bytes;
  options_.budget->used_ -= bytes;
}

double BufferAccount::Rank(MonoTime now) const {
  // The time for which memory is held for each byte that moves: a large upload
  // that flows holds much for long, but moves more.
  const std::chrono::duration<double> held_for = now - since_;
  return static_cast<double>(held_) * held_for.count() /
         static_cast<double>(moved_ + 1);
}

void BufferAccount::YieldNow(Yield reason) {
  options_.budget->used_ -= held_;
  held_ = 0;
  yielded_ = true;
  options_.yield(reason);
}

}  // namespace camphor

#include "core/routing/transfer_limit.h"

#include <algorithm>

namespace camphor {
namespace {

using DoubleSeconds = std::chrono::duration<double>;

constexpr double kBitsPerByte = 8;

// Part of the link that bodies may use; the rest is for requests without large
// bodies, responses and the mesh.
constexpr double kBodyShare = 0.85;

// A request without a body waits behind the backlog. Lookups that are made by a
// running request have some hundred milliseconds.
constexpr DoubleSeconds kMaxBacklog{0.2};

// A large body is sent at the pace of the receiver. Counting all of it would
// refuse others for as long as it takes.
constexpr DoubleSeconds kMaxCounted{1};

}  // namespace

TransferLimit::TransferLimit(Options options)
    : bytes_per_second_(kBodyShare * options.bits_per_second / kBitsPerByte) {}

bool TransferLimit::TryAcquire(std::uint64_t bytes, MonoTime now) {
  if (bytes_per_second_ <= 0) return true;
  Drain(now);
  const double counted = Counted(bytes);
  const double most = bytes_per_second_ * kMaxBacklog.count();
  if (backlog_ > 0 && backlog_ + counted > most) return false;
  backlog_ += counted;
  return true;
}

void TransferLimit::Release(std::uint64_t bytes, MonoTime accepted,
                            MonoTime now) {
  Drain(now);
  // The backlog has drained since, as if the body had been on its way.
  const DoubleSeconds elapsed = now - accepted;
  const double left = Counted(bytes) - elapsed.count() * bytes_per_second_;
  backlog_ = std::max(0.0, backlog_ - std::max(0.0, left));
}

Milliseconds TransferLimit::Backlog(MonoTime now) {
  if (bytes_per_second_ <= 0) return Milliseconds(0);
  Drain(now);
  return std::chrono::ceil<Milliseconds>(
      DoubleSeconds(backlog_ / bytes_per_second_));
}

void TransferLimit::Drain(MonoTime now) {
  if (now <= drained_) return;
  const DoubleSeconds elapsed = now - drained_;
  drained_ = now;
  backlog_ = std::max(0.0, backlog_ - elapsed.count() * bytes_per_second_);
}

double TransferLimit::Counted(std::uint64_t bytes) const {
  return std::min(static_cast<double>(bytes),
                  bytes_per_second_ * kMaxCounted.count());
}

}  // namespace camphor

#include "mesh/counting_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace camphor {

CountingStream::CountingStream(kj::Own<kj::AsyncIoStream> inner,
                               ByteCounters& counters)
    : inner_(kj::mv(inner)), counters_(counters) {}

void CountingStream::LimitReceived(std::uint64_t bytes,
                                   std::function<void()> on_exceeded) {
  receivable_ = bytes;
  on_exceeded_ = std::move(on_exceeded);
}

void CountingStream::LiftReceiveLimit() { receivable_.reset(); }

kj::Promise<size_t> CountingStream::tryRead(void* buffer, size_t min_bytes,
                                            size_t max_bytes) {
  if (receivable_) {
    if (min_bytes > *receivable_) {
      on_exceeded_();
      return KJ_EXCEPTION(DISCONNECTED, "the peer sends too much");
    }
    max_bytes = std::min<size_t>(max_bytes, *receivable_);
  }
  return inner_->tryRead(buffer, min_bytes, max_bytes).then([this](size_t n) {
    counters_.received.fetch_add(n, std::memory_order_relaxed);
    if (receivable_) *receivable_ -= std::min<std::uint64_t>(n, *receivable_);
    return n;
  });
}

kj::Promise<void> CountingStream::write(const void* buffer, size_t size) {
  counters_.sent.fetch_add(size, std::memory_order_relaxed);
  return inner_->write(buffer, size);
}

kj::Promise<void> CountingStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const auto& piece : pieces)
    counters_.sent.fetch_add(piece.size(), std::memory_order_relaxed);
  return inner_->write(pieces);
}

kj::Promise<void> CountingStream::whenWriteDisconnected() {
  return inner_->whenWriteDisconnected();
}

void CountingStream::shutdownWrite() { inner_->shutdownWrite(); }

void CountingStream::abortRead() { inner_->abortRead(); }

}  // namespace camphor

#include "mesh/counting_stream.h"

#include <utility>

namespace camphor {

CountingStream::CountingStream(kj::Own<kj::AsyncIoStream> inner,
                               ByteCounters& counters)
    : inner_(kj::mv(inner)), counters_(counters) {}

kj::Promise<size_t> CountingStream::tryRead(void* buffer, size_t min_bytes,
                                            size_t max_bytes) {
  return inner_->tryRead(buffer, min_bytes, max_bytes).then([this](size_t n) {
    counters_.received.fetch_add(n, std::memory_order_relaxed);
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

#ifndef CAMPHORHILL_MESH_COUNTING_STREAM_H_
#define CAMPHORHILL_MESH_COUNTING_STREAM_H_

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>

namespace camphor {

/// Bytes transferred over all connections of a transport. Thread-safe.
struct ByteCounters {
  std::atomic<std::uint64_t> sent{0};      ///< bytes written to sockets
  std::atomic<std::uint64_t> received{0};  ///< bytes read from sockets
};

/// Stream wrapper that counts the bytes read and written. Internal to mesh.
class CountingStream final : public kj::AsyncIoStream {
 public:
  /// @pre `counters` outlives this object.
  CountingStream(kj::Own<kj::AsyncIoStream> inner, ByteCounters& counters);

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes,
                              size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

 private:
  kj::Own<kj::AsyncIoStream> inner_;
  ByteCounters& counters_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_COUNTING_STREAM_H_

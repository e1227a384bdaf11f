#ifndef CAMPHORHILL_MESH_COUNTING_STREAM_H_
#define CAMPHORHILL_MESH_COUNTING_STREAM_H_

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>

namespace camphor {

/// Bytes transferred over all connections of a transport. Thread-safe.
struct ByteCounters {
  std::atomic<std::uint64_t> sent{0};      ///< bytes written to sockets
  std::atomic<std::uint64_t> received{0};  ///< bytes read from sockets
};

/// Stream wrapper that counts the bytes read and written, and can limit the
/// bytes read. Internal to mesh.
class CountingStream final : public kj::AsyncIoStream {
 public:
  /// @pre `counters` outlives this object.
  CountingStream(kj::Own<kj::AsyncIoStream> inner, ByteCounters& counters);

  /// From now on, at most `bytes` can be read. A read that needs more fails at
  /// once, so that no announced size makes this host wait for more, and calls
  /// `on_exceeded`.
  void LimitReceived(std::uint64_t bytes, std::function<void()> on_exceeded);

  /// Ends the limit.
  void LiftReceiveLimit();

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
  std::optional<std::uint64_t> receivable_;  ///< bytes left; nullopt: no limit
  std::function<void()> on_exceeded_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_COUNTING_STREAM_H_

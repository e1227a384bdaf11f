#ifndef CAMPHORHILL_MESH_TRANSPORT_COUNTERS_H_
#define CAMPHORHILL_MESH_TRANSPORT_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "mesh/counting_stream.h"

namespace camphor {

/// Counters of all connections of a transport. Written by the mesh thread, read
/// by any thread.
struct TransportCounters {
  ByteCounters bytes{};                   ///< bytes transferred over sockets
  std::atomic<std::uint64_t> refused{0};  ///< handshakes refused
  std::atomic<std::uint64_t> displaced{
      0};  ///< unauthenticated connections closed in favour of newer ones
  std::atomic<std::uint64_t> too_long{
      0};  ///< connections closed for the length of their handshake
  std::atomic<std::uint64_t> dropped{0};  ///< messages dropped
  std::atomic<std::uint64_t> malformed{
      0};                      ///< messages that could not be decoded
  mutable std::mutex mutex{};  ///< guards by_purpose
  std::map<std::string, std::uint64_t>
      by_purpose{};  ///< encoded bytes by purpose

  /// Adds to the encoded bytes of a purpose. Thread-safe.
  void AddEncodedBytes(const std::string& purpose, std::uint64_t count) {
    const std::lock_guard<std::mutex> lock(mutex);
    by_purpose[purpose] += count;
  }
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_TRANSPORT_COUNTERS_H_

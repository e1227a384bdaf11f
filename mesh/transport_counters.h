#ifndef CAMPHORHILL_MESH_TRANSPORT_COUNTERS_H_
#define CAMPHORHILL_MESH_TRANSPORT_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "mesh/counting_stream.h"

namespace camphor {

/// What all connections of a transport count. Written by the mesh thread, read
/// by any.
struct TransportCounters {
  ByteCounters bytes{};                     ///< bytes on sockets
  std::atomic<std::uint64_t> refused{0};    ///< handshakes refused
  std::atomic<std::uint64_t> dropped{0};    ///< messages dropped
  std::atomic<std::uint64_t> malformed{0};  ///< messages not understood
  mutable std::mutex mutex{};               ///< guards by_purpose
  std::map<std::string, std::uint64_t> by_purpose{};  ///< encoded bytes

  /// Adds encoded bytes to a purpose. Thread safety: any thread.
  void Add(const std::string& purpose, std::uint64_t count) {
    const std::lock_guard<std::mutex> lock(mutex);
    by_purpose[purpose] += count;
  }
};

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_TRANSPORT_COUNTERS_H_

#ifndef CAMPHORHILL_PROXY_LOAD_LOOP_LOAD_H_
#define CAMPHORHILL_PROXY_LOAD_LOOP_LOAD_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "core/base/time.h"

namespace camphor {

/// How far one listener is behind its peers. Immutable value type.
struct ListenerLoad {
  std::optional<std::uint32_t>
      queued{};                  ///< established connections that are not yet
                                 ///< accepted; std::nullopt: not known
  std::uint64_t accepted = 0;    ///< connections accepted since the start
  std::uint64_t abandoned = 0;   ///< of them, those that their peer had closed
                                 ///< before
  Milliseconds longest_wait{0};  ///< longest time in the interval for which an
                                 ///< accepted connection or its first data had
                                 ///< waited

  auto operator<=>(const ListenerLoad&) const = default;
};

/// How far the thread of a proxy is behind, over the last interval of a
/// LoopMonitor. Immutable value type.
struct LoopLoad {
  Microseconds lag{0};         ///< by which the timer of the interval was late
  Microseconds thread_cpu{0};  ///< processor time of the thread since the start
  Microseconds process_cpu{0};  ///< the same of all threads
  ListenerLoad callers{};       ///< listener for callers
  ListenerLoad hosts{};         ///< listener for other hosts' proxies

  auto operator<=>(const LoopLoad&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_LOOP_LOAD_H_

#ifndef CAMPHORHILL_CORE_ROUTING_URGENCY_H_
#define CAMPHORHILL_CORE_ROUTING_URGENCY_H_

#include <compare>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// Order in which queued requests get a slot: the smaller value goes first.
/// Immutable value type.
struct Urgency {
  std::uint32_t priority = 0;  ///< priority of its route; 0 is the highest
  MonoTime soft_deadline{};  ///< latency objective: a response by then has its
                             ///< full value. Equal to `deadline` if the route
                             ///< has none or it has already passed
  MonoTime deadline{};       ///< a response after this time is worthless
  std::uint32_t work_class =
      0;  ///< requests of the same class have similar service times

  /// Creates the urgency of a request that only has a deadline. Thread-safe.
  static Urgency FromDeadline(MonoTime deadline) {
    return {.soft_deadline = deadline, .deadline = deadline};
  }

  auto operator<=>(const Urgency&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_URGENCY_H_

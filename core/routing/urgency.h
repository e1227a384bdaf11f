#ifndef CAMPHORHILL_CORE_ROUTING_URGENCY_H_
#define CAMPHORHILL_CORE_ROUTING_URGENCY_H_

#include <compare>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// How urgent a request is where it waits for a slot: the smaller goes first.
/// Immutable value type.
struct Urgency {
  std::uint32_t priority = 0;  ///< rank of its route, 0 is the highest
  MonoTime
      soft_deadline{};  ///< an answer by then has its full value; the deadline
                        ///< when nothing is told, or it has passed
  MonoTime deadline{};  ///< an answer after it has none
  std::uint32_t work_class =
      0;  ///< requests of one class take about as long as each other

  /// A request of which only the deadline is known. Thread safety: any thread.
  static Urgency Of(MonoTime deadline) {
    return {.soft_deadline = deadline, .deadline = deadline};
  }

  auto operator<=>(const Urgency&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_URGENCY_H_

#ifndef CAMPHORHILL_CORE_CONFIG_CALLER_LIMITS_H_
#define CAMPHORHILL_CORE_CONFIG_CALLER_LIMITS_H_

#include <boost/json/fwd.hpp>
#include <compare>
#include <cstdint>

#include "core/base/json_fields.h"
#include "core/base/time.h"

namespace camphor {

/// What operators allow callers to send, and for how long. Immutable value
/// type.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;  ///< longest header
  std::uint64_t body_bytes = 1ULL << 40;   ///< longest body
  Milliseconds header_timeout{5000};       ///< longest time for a whole header
  Milliseconds idle_timeout{60'000};       ///< idle time of a kept connection

  /// Reads what Write wrote; faults go to the reader's errors. Thread safety:
  /// one thread per reader.
  static CallerLimits Read(JsonFields& fields);

  /// Writes every limit. Thread safety: any thread.
  boost::json::object Write() const;

  auto operator<=>(const CallerLimits&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CALLER_LIMITS_H_

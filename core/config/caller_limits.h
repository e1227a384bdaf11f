#ifndef CAMPHORHILL_CORE_CONFIG_CALLER_LIMITS_H_
#define CAMPHORHILL_CORE_CONFIG_CALLER_LIMITS_H_

#include <boost/json/fwd.hpp>
#include <compare>
#include <cstdint>

#include "core/base/json_fields.h"
#include "core/base/time.h"

namespace camphor {

/// Limits on the size and duration of caller requests, set by operators.
/// Immutable value type.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;  ///< maximum size of a request header
  std::uint64_t body_bytes = 1ULL << 40;   ///< maximum size of a request body
  Milliseconds header_timeout{5000};       ///< for receiving a complete header
  Milliseconds idle_timeout{60'000};       ///< for idle keep-alive connections

  /// Reads limits from JSON; absent fields keep their defaults. Invalid fields
  /// are added to the errors of `fields`, which must not be used by other
  /// threads meanwhile.
  static CallerLimits Read(JsonFields& fields);

  /// Writes all limits, including those with default values. Thread-safe.
  boost::json::object Write() const;

  auto operator<=>(const CallerLimits&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CALLER_LIMITS_H_

#ifndef CAMPHORHILL_CORE_ROUTING_LOAD_REPORT_H_
#define CAMPHORHILL_CORE_ROUTING_LOAD_REPORT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/time.h"

namespace camphor {

/// Load and speed of one target, measured by its own host and sent with each
/// response to the host of the caller. Immutable value type.
struct LoadReport {
  std::uint32_t running = 0;  ///< slots in use
  std::uint32_t waiting = 0;  ///< requests in the queue
  Microseconds service{0};    ///< mean service time of all requests; never 0 in
                              ///< a valid report
  Microseconds class_service{
      0};  ///< mean service time of the work class of the request that is
           ///< answered; 0: not measured yet

  /// Formats the report as the value of a header: four decimal numbers, with
  /// times in microseconds. Thread-safe.
  std::string ToString() const;

  /// Parses the value of a header. Returns std::nullopt if it is not a valid
  /// report. Thread-safe.
  static std::optional<LoadReport> Parse(std::string_view text);

  auto operator<=>(const LoadReport&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_LOAD_REPORT_H_

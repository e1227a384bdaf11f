#ifndef CAMPHORHILL_CORE_MEMBERSHIP_TARGET_DEPARTURE_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_TARGET_DEPARTURE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Statement of a target that it leaves. It holds for the run of the target
/// that started at the given time and for all earlier ones. Immutable value
/// type.
struct TargetDeparture {
  TargetId id;                   ///< target that leaves
  std::uint64_t started_ms = 0;  ///< Unix time of its start; 0 if unknown

  /// Parses the body of a target's request to leave. A body without a readable
  /// start time leaves it unknown. Thread-safe.
  static TargetDeparture Parse(TargetId id, std::string_view body);

  auto operator<=>(const TargetDeparture&) const = default;
};

/// Returns the departures as JSON. Thread-safe.
std::string EncodeDepartures(const std::vector<TargetDeparture>& departures);

/// Parses the text of EncodeDepartures. Returns std::nullopt if it is invalid.
/// Thread-safe.
std::optional<std::vector<TargetDeparture>> DecodeDepartures(
    std::string_view text);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_TARGET_DEPARTURE_H_

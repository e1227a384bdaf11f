#ifndef CAMPHORHILL_STAND_INS_TARGET_TARGET_FAULTS_H_
#define CAMPHORHILL_STAND_INS_TARGET_TARGET_FAULTS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace camphor {

/// Fault injected into the requests of one route of a target. Immutable value
/// type.
struct TargetFault {
  std::string prefix = "/";     ///< path prefix it applies to
  std::uint32_t error_ppm = 0;  ///< 500 responses per million
  Milliseconds delay{0};        ///< added to the work of each request
  std::uint32_t above_in_flight =
      0;                  ///< applies only above this number in flight
  Milliseconds after{0};  ///< delay from setting it until it applies

  auto operator<=>(const TargetFault&) const = default;
};

/// All faults of a target and its health status. Immutable value type.
struct TargetFaults {
  std::vector<TargetFault> faults{};  ///< all that match apply
  bool healthy = true;                ///< result of the health endpoint

  /// Parses the body of POST /control. Returns std::nullopt and sets `reason`
  /// if it is malformed. Thread-safe.
  static std::optional<TargetFaults> Decode(std::string_view text,
                                            std::string& reason);

  /// Combines the faults that apply to one request: delays are added, the
  /// highest error rate is used. Thread-safe.
  TargetFault Match(std::string_view path, std::uint32_t in_flight,
                    Milliseconds since_set) const;

  auto operator<=>(const TargetFaults&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_TARGET_TARGET_FAULTS_H_

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

/// What goes wrong with the requests of one route of a target. Immutable value
/// type.
struct TargetFault {
  std::string prefix = "/";     ///< paths that it holds for
  std::uint32_t error_ppm = 0;  ///< answers of 500, in millionths
  Milliseconds delay{0};        ///< added to the work of each request
  std::uint32_t above_in_flight =
      0;                  ///< holds only with more requests in flight than this
  Milliseconds after{0};  ///< holds only this long after it was set

  auto operator<=>(const TargetFault&) const = default;
};

/// All faults of a target, with its health endpoint. Immutable value type.
struct TargetFaults {
  std::vector<TargetFault> faults{};  ///< each that matches holds
  bool healthy = true;  ///< what the health endpoint says, true or not

  /// Reads the body of POST /control. Returns nothing, with the reason set,
  /// when it is malformed. Thread safety: any thread.
  static std::optional<TargetFaults> Decode(std::string_view text,
                                            std::string& reason);

  /// What holds for one request: delays add up, the highest error share counts.
  /// Thread safety: value type.
  TargetFault Match(std::string_view path, std::uint32_t in_flight,
                    Milliseconds since_set) const;

  auto operator<=>(const TargetFaults&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_TARGET_TARGET_FAULTS_H_

#ifndef CAMPHORHILL_CORE_BASE_WALL_TIME_TEXT_H_
#define CAMPHORHILL_CORE_BASE_WALL_TIME_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/base/time.h"

namespace camphor {

/// Reads "2027-03-31T18:00:00Z" (UTC, seconds). Returns nothing on any other
/// form. Thread safety: any thread.
std::optional<WallTime> ParseWallTime(std::string_view text);

/// Writes the form that ParseWallTime reads; fractions of a second are cut off.
/// Thread safety: any thread.
std::string FormatWallTime(WallTime time);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_WALL_TIME_TEXT_H_

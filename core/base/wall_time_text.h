#ifndef CAMPHORHILL_CORE_BASE_WALL_TIME_TEXT_H_
#define CAMPHORHILL_CORE_BASE_WALL_TIME_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/base/time.h"

namespace camphor {

/// Parses a time such as "2027-03-31T18:00:00Z" (UTC, whole seconds). Returns
/// std::nullopt for any other format. Thread-safe.
std::optional<WallTime> ParseWallTime(std::string_view text);

/// Formats a time in the format that ParseWallTime accepts; truncates to whole
/// seconds. Thread-safe.
std::string FormatWallTime(WallTime time);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_WALL_TIME_TEXT_H_

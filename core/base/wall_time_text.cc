#include "core/base/wall_time_text.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>

namespace camphor {

std::optional<WallTime> ParseWallTime(std::string_view text) {
  const std::string copy(text);
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int used = 0;
  const int fields = std::sscanf(  // NOLINT(cert-err34-c): the result is
                                   // written back and compared
      copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2dZ%n", &year, &month, &day, &hour,
      &minute, &second, &used);
  if (fields != 6 || static_cast<std::size_t>(used) != text.size())
    return std::nullopt;
  const std::chrono::year_month_day date{std::chrono::year{year},
                                         std::chrono::month{month},
                                         std::chrono::day{day}};
  if (!date.ok()) return std::nullopt;
  const WallTime time = std::chrono::sys_days{date} + std::chrono::hours(hour) +
                        std::chrono::minutes(minute) +
                        std::chrono::seconds(second);
  // Hours past 23 and the like would come out as another time.
  if (FormatWallTime(time) != text) return std::nullopt;
  return time;
}

std::string FormatWallTime(WallTime time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  return fmt::format(
      "{:%Y-%m-%dT%H:%M:%SZ}",
      fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
}

}  // namespace camphor

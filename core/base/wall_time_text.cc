#include "core/base/wall_time_text.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <ctime>

namespace camphor {

std::optional<WallTime> ParseWallTime(std::string_view text) {
  const std::string copy(text);
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int parsed_size = 0;
  const int fields = std::sscanf(  // NOLINT(cert-err34-c): the result is
                                   // written back and compared
      copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2dZ%n", &year, &month, &day, &hour,
      &minute, &second, &parsed_size);
  if (fields != 6 || static_cast<std::size_t>(parsed_size) != text.size())
    return std::nullopt;
  const std::chrono::year_month_day date{std::chrono::year{year},
                                         std::chrono::month{month},
                                         std::chrono::day{day}};
  if (!date.ok()) return std::nullopt;
  const WallTime time = std::chrono::sys_days{date} + std::chrono::hours(hour) +
                        std::chrono::minutes(minute) +
                        std::chrono::seconds(second);
  // Rejects out-of-range fields, such as hour 24, which would otherwise be
  // converted to a different time.
  if (FormatWallTime(time) != text) return std::nullopt;
  return time;
}

std::string FormatWallTime(WallTime time) {
  // The nanoseconds of system_clock would overflow after the year 2262.
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const std::time_t since_epoch = seconds.time_since_epoch().count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(since_epoch));
}

}  // namespace camphor

#ifndef CAMPHORHILL_CTL_EXPLAIN_LOG_LINE_H_
#define CAMPHORHILL_CTL_EXPLAIN_LOG_LINE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace camphor {

/// A parsed line of a camphord log. Immutable value type.
struct LogLine {
  std::int64_t t_ms = 0;  ///< calendar time in milliseconds
  std::string host;       ///< host that wrote it
  std::string part;       ///< component, for example "proxy"
  std::string sentence;   ///< what happened
  std::map<std::string, std::string, std::less<>>
      fields{};  ///< the other fields

  /// Parses a line. A prefix added by a log collector before "camphord" is
  /// skipped. Returns nullopt if it is not a camphord log line. Thread-safe.
  static std::optional<LogLine> Parse(std::string_view text);

  /// Value of a field; empty if absent. Thread-safe.
  std::string_view Field(std::string_view key) const;

  /// Numeric value of a field; 0 if absent or not a number. Thread-safe.
  std::uint64_t Number(std::string_view key) const;

  auto operator<=>(const LogLine&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_LOG_LINE_H_

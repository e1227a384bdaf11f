#ifndef CAMPHORHILL_CTL_EXPLAIN_LOG_LINE_H_
#define CAMPHORHILL_CTL_EXPLAIN_LOG_LINE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace camphor {

/// One line that camphord wrote to its log. Immutable value type.
struct LogLine {
  std::int64_t t_ms = 0;  ///< calendar time in milliseconds
  std::string host;       ///< host that wrote it
  std::string part;       ///< part of the process, for example "proxy"
  std::string sentence;   ///< what happened
  std::map<std::string, std::string, std::less<>>
      fields{};  ///< the other fields

  /// Reads a line. Whatever a collector put before "camphord" is passed over.
  /// Returns nothing when it is no such line. Thread safety: any thread.
  static std::optional<LogLine> Parse(std::string_view text);

  /// Value of a field; empty when it is not there. Thread safety: any thread.
  std::string_view Field(std::string_view key) const;

  /// Number of a field; 0 when it is not there or is none. Thread safety: any
  /// thread.
  std::uint64_t Number(std::string_view key) const;

  auto operator<=>(const LogLine&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_LOG_LINE_H_

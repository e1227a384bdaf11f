#ifndef CAMPHORHILL_NODE_LOG_LOG_LEVEL_H_
#define CAMPHORHILL_NODE_LOG_LOG_LEVEL_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace camphor {

/// Severity of a log line.
enum class LogLevel : std::uint8_t {
  kDebug,    ///< details for developers
  kInfo,     ///< normal events of interest to operators
  kWarning,  ///< a problem that needs no intervention
  kError,    ///< a problem that needs intervention
};

/// Components that write log lines. The settings can set a level for each.
inline constexpr std::array<std::string_view, 8> kLogParts = {
    "node",      "admin",   "mesh",    "platform",
    "decisions", "targets", "rollout", "proxy"};

/// Parses "debug", "info", "warning" or "error". Thread-safe.
std::optional<LogLevel> ParseLogLevel(std::string_view text);

/// Returns the name that ParseLogLevel() parses. Thread-safe.
std::string_view LogLevelName(LogLevel level);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_LOG_LOG_LEVEL_H_

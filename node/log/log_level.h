#ifndef CAMPHORHILL_NODE_LOG_LOG_LEVEL_H_
#define CAMPHORHILL_NODE_LOG_LOG_LEVEL_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace camphor {

/// How much a log line matters.
enum class LogLevel : std::uint8_t {
  kDebug,    ///< detail for developers
  kInfo,     ///< what an operator may want to know
  kWarning,  ///< something is off, the process goes on by itself
  kError,    ///< somebody has to look
};

/// The parts that log; each has a level of its own if the settings say so.
inline constexpr std::array<std::string_view, 8> kLogParts = {
    "node",      "admin",   "mesh",    "platform",
    "decisions", "targets", "rollout", "proxy"};

/// Reads "debug", "info", "warning" or "error". Thread safety: any thread.
std::optional<LogLevel> ParseLogLevel(std::string_view text);

/// The form that ParseLogLevel reads. Thread safety: any thread.
std::string_view LogLevelName(LogLevel level);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_LOG_LOG_LEVEL_H_

#include "node/log/log_level.h"

namespace camphor {
namespace {

constexpr std::array<std::string_view, 4> kNames = {"debug", "info", "warning",
                                                    "error"};

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  for (std::size_t index = 0; index < kNames.size(); ++index) {
    if (kNames.at(index) == text) return static_cast<LogLevel>(index);
  }
  return std::nullopt;
}

std::string_view LogLevelName(LogLevel level) {
  return kNames.at(static_cast<std::size_t>(level));
}

}  // namespace camphor

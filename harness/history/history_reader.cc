#include "harness/history/history_reader.h"

#include <charconv>
#include <string_view>

#include "harness/process_log.h"

namespace camphor {
namespace {

std::uint64_t ParseNumber(std::string_view line, std::string_view key) {
  const std::string text = FindLogField(line, key);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

void ReadHistoryLines(const std::vector<std::string>& lines, History& history) {
  for (const std::string& line : lines) {
    const std::string process = line.substr(0, line.find(' '));
    const std::string event = FindLogField(line, "event");
    const EventTime at(ParseNumber(line, "t_us"));
    if (event == "serving") {
      history.serving.push_back({.at = at,
                                 .host = process,
                                 .version = ParseNumber(line, "version"),
                                 .digest = FindLogField(line, "digest")});
    } else if (event == "run") {
      history.runs.push_back({.at = at,
                              .target = FindLogField(line, "target"),
                              .key = FindLogField(line, "key"),
                              .request = FindLogField(line, "request")});
    } else if (event == "rollout") {
      history.rollouts.push_back({.at = at,
                                  .host = process,
                                  .id = FindLogField(line, "id"),
                                  .stage = FindLogField(line, "stage")});
    }
  }
}

}  // namespace camphor

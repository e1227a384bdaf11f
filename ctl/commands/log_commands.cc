#include "ctl/commands/log_commands.h"

#include <fmt/core.h>

#include <boost/json.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include "ctl/explain/log_reader.h"
#include "ctl/explain/request_story.h"

namespace camphor {
namespace {

/// What `logs` keeps.
struct LogFilter {
  std::string part{};                ///< of this part; empty: any
  std::string request{};             ///< of this request; empty: any
  std::string text{};                ///< whose sentence holds this; empty: any
  std::int64_t from = 0;             ///< not before this time, in milliseconds
  std::optional<std::int64_t> to{};  ///< before this time, in milliseconds

  bool Takes(const LogLine& line) const {
    return (part.empty() || line.part == part) &&
           (request.empty() || line.Field("request") == request) &&
           (text.empty() || line.sentence.find(text) != std::string::npos) &&
           line.t_ms >= from && (!to || line.t_ms < *to);
  }
};

std::optional<std::int64_t> ReadTime(std::string_view text) {
  std::int64_t time = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), time);
  if (error != std::errc() || rest != text.data() + text.size() || time < 0)
    return std::nullopt;
  return time;
}

/// Reads "part=proxy" and the like. Returns false for anything else.
bool ReadCondition(std::string_view argument, LogFilter& filter) {
  const std::size_t equals = argument.find('=');
  if (equals == std::string_view::npos) return false;
  const std::string_view key = argument.substr(0, equals);
  const std::string value(argument.substr(equals + 1));
  if (key == "part") {
    filter.part = value;
  } else if (key == "request") {
    filter.request = value;
  } else if (key == "text") {
    filter.text = value;
  } else if (key == "from" || key == "to") {
    const std::optional<std::int64_t> time = ReadTime(value);
    if (!time) return false;
    if (key == "from") filter.from = *time;
    if (key == "to") filter.to = time;
  } else {
    return false;
  }
  return true;
}

void Print(const LogLine& line) {
  fmt::print("{} {} {}: {}", line.t_ms, line.host, line.part, line.sentence);
  for (const auto& [key, value] : line.fields) fmt::print(" {}={}", key, value);
  fmt::print("\n");
}

int RunLogs(CommandContext& context) {
  LogFilter filter;
  for (const std::string& argument : context.arguments) {
    if (!ReadCondition(argument, filter))
      return WrongArguments("logs does not understand " + argument);
  }
  std::string reason;
  const auto log = ReadLogs(context.options.logs, reason);
  if (!log) return WrongArguments("--logs: " + reason);
  for (const LogLine& line : *log) {
    if (filter.Takes(line)) Print(line);
  }
  return kCtlOk;
}

void PrintJson(const RequestStory& story) {
  const auto rows = [](const std::vector<LogLine>& lines) {
    boost::json::array out;
    for (const LogLine& line : lines) {
      boost::json::object row{{"t_ms", line.t_ms},
                              {"host", line.host},
                              {"part", line.part},
                              {"sentence", line.sentence}};
      for (const auto& [key, value] : line.fields) row[key] = value;
      out.push_back(std::move(row));
    }
    return out;
  };
  const boost::json::object document{
      {"lines", rows(story.lines)},
      {"context", rows(story.context)},
      {"cause", story.cause},
      {"missing", boost::json::value_from(story.gaps)}};
  fmt::print("{}\n", boost::json::serialize(document));
}

int RunExplain(CommandContext& context) {
  if (context.arguments.size() != 1)
    return WrongArguments("explain needs the id of one request");
  std::string reason;
  const auto log = ReadLogs(context.options.logs, reason);
  if (!log) return WrongArguments("--logs: " + reason);
  const RequestStory story = RequestStory::Of(*log, context.arguments[0]);
  if (context.options.json) {
    PrintJson(story);
  } else {
    fmt::print("{}", story.Text());
  }
  return story.lines.empty() ? kCtlFailed : kCtlOk;
}

}  // namespace

Command ExplainCommand() {
  return {.name = "explain",
          .usage = "ID --logs DIR|FILE|-",
          .summary = "tell from logs why a request ended as it did",
          .help =
              "Joins what several hosts wrote of the request, with what "
              "they learned in the\n5 s before. Files of a folder are named "
              "after their hosts where lines name none.",
          .run = &RunExplain,
          .needs_node = false};
}

Command LogsCommand() {
  return {.name = "logs",
          .usage =
              "[part=P] [request=ID] [text=T] [from=MS] [to=MS] --logs "
              "DIR|FILE|-",
          .summary = "print lines of logs by part, request, sentence or time",
          .help = "Times are calendar milliseconds, as t_ms on each line.",
          .run = &RunLogs,
          .needs_node = false};
}

}  // namespace camphor

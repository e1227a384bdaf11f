#include "ctl/commands/log_commands.h"

#include <fmt/core.h>

#include <boost/json.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include "ctl/explain/log_reader.h"
#include "ctl/explain/request_trace.h"

namespace camphor {
namespace {

/// Conditions of `logs`; a line must match all of them.
struct LogFilter {
  std::string part{};     ///< component; empty: any
  std::string request{};  ///< request id; empty: any
  std::string text{};     ///< substring of the sentence; empty: any
  std::int64_t from = 0;  ///< earliest time, inclusive, in milliseconds
  std::optional<std::int64_t>
      to{};  ///< latest time, exclusive, in milliseconds

  bool Matches(const LogLine& line) const {
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

/// Parses a condition such as "part=proxy". Returns false if it is invalid.
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
      return ReportUsageError("invalid condition for logs: " + argument);
  }
  std::string reason;
  const auto log = ReadLogs(context.options.logs, reason);
  if (!log) return ReportUsageError("--logs: " + reason);
  for (const LogLine& line : *log) {
    if (filter.Matches(line)) Print(line);
  }
  return kCtlOk;
}

void PrintJson(const RequestTrace& trace) {
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
      {"lines", rows(trace.lines)},
      {"context", rows(trace.context)},
      {"cause", trace.cause},
      {"missing", boost::json::value_from(trace.gaps)}};
  fmt::print("{}\n", boost::json::serialize(document));
}

int RunExplain(CommandContext& context) {
  if (context.arguments.size() != 1)
    return ReportUsageError("explain requires exactly one request id");
  std::string reason;
  const auto log = ReadLogs(context.options.logs, reason);
  if (!log) return ReportUsageError("--logs: " + reason);
  const RequestTrace trace = RequestTrace::FromLog(*log, context.arguments[0]);
  if (context.options.json) {
    PrintJson(trace);
  } else {
    fmt::print("{}", trace.ToText());
  }
  return trace.lines.empty() ? kCtlFailed : kCtlOk;
}

}  // namespace

Command ExplainCommand() {
  return {.name = "explain",
          .usage = "ID --logs DIR|FILE|-",
          .summary = "explain the outcome of a request from logs",
          .help =
              "Joins the log lines of the request from several hosts, with "
              "related state changes\nin the 5 s before. For lines without a "
              "host field, the file name is the host.",
          .run = &RunExplain,
          .needs_node = false};
}

Command LogsCommand() {
  return {.name = "logs",
          .usage =
              "[part=P] [request=ID] [text=T] [from=MS] [to=MS] --logs "
              "DIR|FILE|-",
          .summary = "filter log lines by part, request, sentence or time",
          .help = "Times are Unix times in milliseconds, as in the t_ms field.",
          .run = &RunLogs,
          .needs_node = false};
}

}  // namespace camphor

#include "ctl/explain/request_trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include "ctl/explain/cause_text.h"

namespace camphor {
namespace {

constexpr std::int64_t kContextMs = 5'000;
constexpr std::string_view kRequestPart = "proxy";

bool IsCallerHop(const LogLine& line) { return line.Field("hop") == "caller"; }

/// True if a logged state change may affect every request, or refers to one of
/// these target or pool names.
bool IsRelevant(const LogLine& line,
                const std::set<std::string, std::less<>>& names) {
  if (line.part == kRequestPart) return false;
  if (line.part == "platform" || line.part == "node" ||
      line.part == "decisions")
    return true;
  return std::ranges::any_of(line.fields, [&names](const auto& field) {
    return names.contains(field.second);
  });
}

/// Last line of the caller's host if there is one, else the last line of any
/// host.
const LogLine& FinalLine(const std::vector<LogLine>& lines) {
  const auto of_caller =
      std::find_if(lines.rbegin(), lines.rend(), IsCallerHop);
  return of_caller == lines.rend() ? lines.back() : *of_caller;
}

std::vector<LogLine> CollectContext(const std::vector<LogLine>& log,
                                    const std::vector<LogLine>& lines) {
  std::set<std::string, std::less<>> hosts;
  std::set<std::string, std::less<>> names;
  for (const LogLine& line : lines) {
    hosts.insert(line.host);
    for (const char* key : {"target", "pool"}) {
      if (!line.Field(key).empty()) names.emplace(line.Field(key));
    }
  }
  std::vector<LogLine> context;
  std::ranges::copy_if(
      log, std::back_inserter(context), [&](const LogLine& line) {
        return line.t_ms >= lines.front().t_ms - kContextMs &&
               line.t_ms <= lines.back().t_ms && hosts.contains(line.host) &&
               IsRelevant(line, names);
      });
  return context;
}

/// Describes log lines that hosts dropped while the request was in progress.
std::vector<std::string> FindGaps(const std::vector<LogLine>& log,
                                  const std::vector<LogLine>& lines) {
  struct Count {
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    bool ended = false;
  };
  std::map<std::string, Count> counts;
  for (const LogLine& line : log) {
    if (line.Field("left_out").empty()) continue;
    Count& count = counts[line.host];
    const std::uint64_t left_out = line.Number("left_out");
    if (line.t_ms < lines.front().t_ms) {
      count.before = count.after = left_out;
    } else if (!count.ended) {
      count.after = left_out;
      count.ended = line.t_ms > lines.back().t_ms;
    }
  }
  std::vector<std::string> gaps;
  for (const auto& [host, count] : counts) {
    if (count.after <= count.before) continue;
    gaps.push_back(fmt::format(
        "{} dropped {} request log lines in this period to stay within its "
        "log budget",
        host, count.after - count.before));
  }
  if (std::ranges::none_of(lines, IsCallerHop))
    gaps.emplace_back(
        "no log line from the host that the caller is connected to");
  return gaps;
}

std::string FormatLine(const LogLine& line, std::int64_t start_ms) {
  std::string text = fmt::format("{:+7d} ms  {}  {}: {}", line.t_ms - start_ms,
                                 line.host, line.part, line.sentence);
  for (const auto& [key, value] : line.fields) {
    if (value.empty() || key == "request" || key == "level") continue;
    text += fmt::format(" {}={}", key, value);
  }
  return text + "\n";
}

}  // namespace

RequestTrace RequestTrace::FromLog(const std::vector<LogLine>& log,
                                   std::string_view request) {
  RequestTrace trace;
  std::ranges::copy_if(log, std::back_inserter(trace.lines),
                       [request](const LogLine& line) {
                         return line.Field("request") == request;
                       });
  if (trace.lines.empty()) {
    trace.gaps.emplace_back(
        "no log line of this request: it was answered and not sampled, its "
        "lines were dropped to stay within the log budget, or it reached none "
        "of these hosts");
    return trace;
  }
  trace.context = CollectContext(log, trace.lines);
  trace.cause = DescribeCause(FinalLine(trace.lines));
  trace.gaps = FindGaps(log, trace.lines);
  return trace;
}

std::string RequestTrace::ToText() const {
  std::string text;
  if (!lines.empty()) {
    const std::int64_t start_ms = lines.front().t_ms;
    for (const LogLine& line : lines) text += FormatLine(line, start_ms);
    text += "cause: " + cause + "\n";
    if (!context.empty()) text += "related state changes on its hosts:\n";
    for (const LogLine& line : context) text += FormatLine(line, start_ms);
  }
  for (const std::string& gap : gaps) text += "missing: " + gap + "\n";
  return text;
}

}  // namespace camphor

#include "ctl/explain/request_story.h"

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

bool IsOfCaller(const LogLine& line) { return line.Field("hop") == "caller"; }

/// True when a change of belief bears on any request, or on these names.
bool Bears(const LogLine& line,
           const std::set<std::string, std::less<>>& names) {
  if (line.part == kRequestPart) return false;
  if (line.part == "platform" || line.part == "node" ||
      line.part == "decisions")
    return true;
  return std::ranges::any_of(line.fields, [&names](const auto& field) {
    return names.contains(field.second);
  });
}

/// The last line of the host where the caller is, or else of any.
const LogLine& LastWord(const std::vector<LogLine>& lines) {
  const auto of_caller = std::find_if(lines.rbegin(), lines.rend(), IsOfCaller);
  return of_caller == lines.rend() ? lines.back() : *of_caller;
}

std::vector<LogLine> ContextOf(const std::vector<LogLine>& log,
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
  std::ranges::copy_if(log, std::back_inserter(context),
                       [&](const LogLine& line) {
                         return line.t_ms >= lines.front().t_ms - kContextMs &&
                                line.t_ms <= lines.back().t_ms &&
                                hosts.contains(line.host) && Bears(line, names);
                       });
  return context;
}

/// Lines that hosts left out while the request was under way.
std::vector<std::string> GapsOf(const std::vector<LogLine>& log,
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
        "{} left out {} lines about requests at that time to keep its budget",
        host, count.after - count.before));
  }
  if (std::ranges::none_of(lines, IsOfCaller))
    gaps.emplace_back("no line of the host that the caller is connected to");
  return gaps;
}

std::string TextOf(const LogLine& line, std::int64_t since_ms) {
  std::string text = fmt::format("{:+7d} ms  {}  {}: {}", line.t_ms - since_ms,
                                 line.host, line.part, line.sentence);
  for (const auto& [key, value] : line.fields) {
    if (value.empty() || key == "request" || key == "level") continue;
    text += fmt::format(" {}={}", key, value);
  }
  return text + "\n";
}

}  // namespace

RequestStory RequestStory::Of(const std::vector<LogLine>& log,
                              std::string_view request) {
  RequestStory story;
  std::ranges::copy_if(log, std::back_inserter(story.lines),
                       [request](const LogLine& line) {
                         return line.Field("request") == request;
                       });
  if (story.lines.empty()) {
    story.gaps.emplace_back(
        "no host wrote a line of this request: it was answered and not in the "
        "sample, was left out to keep the budget, or met none of these hosts");
    return story;
  }
  story.context = ContextOf(log, story.lines);
  story.cause = CauseOf(LastWord(story.lines));
  story.gaps = GapsOf(log, story.lines);
  return story;
}

std::string RequestStory::Text() const {
  std::string text;
  if (!lines.empty()) {
    const std::int64_t since_ms = lines.front().t_ms;
    for (const LogLine& line : lines) text += TextOf(line, since_ms);
    text += "cause: " + cause + "\n";
    if (!context.empty()) text += "what its hosts learned before:\n";
    for (const LogLine& line : context) text += TextOf(line, since_ms);
  }
  for (const std::string& gap : gaps) text += "missing: " + gap + "\n";
  return text;
}

}  // namespace camphor

#include "ctl/explain/log_line.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphor {
namespace {

constexpr std::string_view kLinePrefix = "camphord ";
constexpr std::string_view kPartEnd = ": ";

bool IsKeyCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '_';
}

/// Position of the next " key=" at or after `from`, or the end of the text.
std::size_t FindField(std::string_view text, std::size_t from) {
  for (std::size_t space = text.find(' ', from);
       space != std::string_view::npos; space = text.find(' ', space + 1)) {
    std::size_t end = space + 1;
    while (end < text.size() && IsKeyCharacter(text[end])) ++end;
    if (end > space + 1 && end < text.size() && text[end] == '=') return space;
  }
  return text.size();
}

/// Removes a value, quoted or up to the next space, from the front of the text
/// and returns it.
std::string ConsumeValue(std::string_view& text) {
  std::string value;
  if (text.empty() || text.front() != '"') {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return value;
  }
  std::size_t index = 1;
  for (; index < text.size() && text[index] != '"'; ++index) {
    if (text[index] == '\\' && index + 1 < text.size()) ++index;
    value += text[index];
  }
  text.remove_prefix(std::min(index + 1, text.size()));
  return value;
}

}  // namespace

std::optional<LogLine> LogLine::Parse(std::string_view text) {
  const std::size_t mark = text.find(kLinePrefix);
  if (mark == std::string_view::npos) return std::nullopt;
  text.remove_prefix(mark + kLinePrefix.size());
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    text.remove_suffix(1);
  const std::size_t part_end = text.find(kPartEnd);
  if (part_end == std::string_view::npos) return std::nullopt;

  LogLine line{.part = std::string(text.substr(0, part_end))};
  text.remove_prefix(part_end + kPartEnd.size());
  const std::size_t sentence_end = FindField(text, 0);
  line.sentence = text.substr(0, sentence_end);
  text.remove_prefix(sentence_end);
  while (!text.empty()) {
    text.remove_prefix(std::min(FindField(text, 0) + 1, text.size()));
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) break;
    std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    line.fields[std::move(key)] = ConsumeValue(text);
  }
  line.t_ms = static_cast<std::int64_t>(line.Number("t_ms"));
  line.host = line.Field("host");
  line.fields.erase("t_ms");
  line.fields.erase("host");
  return line;
}

std::string_view LogLine::Field(std::string_view key) const {
  const auto found = fields.find(key);
  return found == fields.end() ? std::string_view() : found->second;
}

std::uint64_t LogLine::Number(std::string_view key) const {
  const std::string_view text = Field(key);
  std::uint64_t number = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && rest == text.data() + text.size() ? number : 0;
}

}  // namespace camphor

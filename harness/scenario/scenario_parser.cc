#include "harness/scenario/scenario_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/spirit/home/x3.hpp>
#include <sstream>
#include <utility>

namespace camphor {
namespace {

namespace x3 = boost::spirit::x3;

const auto kName = x3::rule<struct NameTag, std::string>("name") =
    +(x3::alnum | x3::char_("_./:-"));
const auto kTimeUnit = x3::lit("ms") | x3::lit("s");

// True if the whole text is a valid value of the type.
bool IsOfType(const std::string& text, const std::string& type) {
  const auto whole = [&](const auto& grammar) {
    return x3::parse(text.begin(), text.end(), grammar >> x3::eoi);
  };
  if (type == "name") return whole(x3::omit[kName]);
  if (type == "names") return whole(x3::omit[kName % ',']);
  if (type == "count") return whole(x3::omit[x3::ulong_]);
  if (type == "time") return whole(x3::omit[x3::ulong_ >> kTimeUnit]);
  return true;
}

}  // namespace

std::string ScenarioError::ToString() const {
  return fmt::format("line {} column {}: {}", line, column, message);
}

std::string StepArguments::Text(const std::string& name,
                                const std::string& fallback) const {
  const auto found = values_.find(name);
  return found == values_.end() ? fallback : found->second;
}

std::vector<std::string> StepArguments::Names(const std::string& name) const {
  std::vector<std::string> names;
  std::istringstream list(Text(name));
  for (std::string item; std::getline(list, item, ',');) names.push_back(item);
  return names;
}

std::size_t StepArguments::Count(const std::string& name,
                                 std::size_t fallback) const {
  const std::string text = Text(name);
  std::size_t count = fallback;
  x3::parse(text.begin(), text.end(), x3::ulong_, count);
  return count;
}

Milliseconds StepArguments::Time(const std::string& name,
                                 Milliseconds fallback) const {
  if (!Has(name)) return fallback;
  const std::string text = Text(name);
  const auto count = static_cast<std::int64_t>(Count(name));
  return text.ends_with("ms") ? Milliseconds(count) : Seconds(count);
}

ScenarioParser::ScenarioParser(const std::vector<std::string>& forms) {
  for (const std::string& form : forms) forms_.push_back(ReadForm(form));
}

ScenarioParser::Form ScenarioParser::ReadForm(const std::string& text) {
  Form form{.text = text};
  std::size_t group = 0;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    const bool opens = word.starts_with('[');
    const bool closes = word.ends_with(']');
    if (opens) word.erase(0, 1);
    if (closes) word.pop_back();
    Part part{.word = word};
    if (const std::size_t colon = word.find(':');
        word.starts_with('{') && colon != std::string::npos) {
      part = {.name = word.substr(1, colon - 1),
              .type = word.substr(colon + 1, word.size() - colon - 2)};
    }
    form.parts.push_back(std::move(part));
    if (opens) group = form.parts.size() - 1;
    if (closes) form.parts[group].skip = form.parts.size() - group;
  }
  return form;
}

std::optional<std::vector<ScenarioParser::Token>> ScenarioParser::Tokenize(
    std::string_view line, ScenarioError& error) {
  std::vector<Token> tokens;
  auto at = line.begin();
  const auto column = [&] {
    return static_cast<std::size_t>(at - line.begin()) + 1;
  };
  while (true) {
    x3::parse(at, line.end(), *x3::space);
    if (at == line.end() || *at == '#') return tokens;
    Token token{.column = column(), .quoted = *at == '\'' || *at == '"'};
    const char quote = *at;
    const bool valid =
        token.quoted
            ? x3::parse(at, line.end(),
                        x3::lit(quote) >> *(x3::char_ - quote) >> quote,
                        token.text)
            : x3::parse(at, line.end(), +(x3::char_ - x3::space), token.text);
    if (!valid) {
      error = {.column = token.column, .message = "unterminated quote"};
      return std::nullopt;
    }
    tokens.push_back(std::move(token));
  }
}

// On a mismatch `error` holds the column of the first token that does not
// match.
bool ScenarioParser::Match(const Form& form, const std::vector<Token>& tokens,
                           StepArguments& arguments, ScenarioError& error) {
  const std::size_t end_column =
      tokens.back().column + tokens.back().text.size() + 1;
  std::size_t next = 0;
  for (std::size_t index = 0; index < form.parts.size(); ++index) {
    const Part& part = form.parts[index];
    const Token* token = next < tokens.size() ? &tokens[next] : nullptr;
    const bool fits =
        token != nullptr &&
        (part.word.empty() ? IsOfType(token->text, part.type)
                           : !token->quoted && token->text == part.word);
    if (fits) {
      if (part.word.empty()) arguments.values_[part.name] = token->text;
      ++next;
      continue;
    }
    if (part.skip > 0) {
      index += part.skip - 1;
      continue;
    }
    error = {
        .column = token == nullptr ? end_column : token->column,
        .message = part.word.empty()
                       ? fmt::format("expected {} ({})", part.name, part.type)
                       : fmt::format("expected '{}'", part.word)};
    return false;
  }
  if (next == tokens.size()) return true;
  error = {.column = tokens[next].column,
           .message = fmt::format("'{}' is unexpected", tokens[next].text)};
  return false;
}

bool ScenarioParser::ParseLine(std::string_view line, std::size_t number,
                               std::vector<ScenarioStep>& steps) {
  ScenarioError furthest;
  const auto tokens = Tokenize(line, furthest);
  if (tokens && tokens->empty()) return true;
  if (tokens) {
    for (const Form& form : forms_) {
      StepArguments arguments;
      ScenarioError error;
      if (Match(form, *tokens, arguments, error)) {
        steps.push_back({.line = number,
                         .text = std::string(line),
                         .form = form.text,
                         .arguments = std::move(arguments)});
        return true;
      }
      // Report the error of the form that matched furthest, as the most likely
      // intended one.
      if (error.column > furthest.column) furthest = std::move(error);
    }
    if (furthest.column == tokens->front().column) {
      furthest.message =
          fmt::format("no step starts with '{}'", tokens->front().text);
    }
  }
  furthest.line = number;
  last_reason_ = std::move(furthest);
  return false;
}

std::optional<std::vector<ScenarioStep>> ScenarioParser::Parse(
    std::string_view text) {
  std::vector<ScenarioStep> steps;
  std::istringstream lines{std::string(text)};
  std::size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    if (!ParseLine(line, ++number, steps)) return std::nullopt;
  }
  return steps;
}

}  // namespace camphor

#ifndef CAMPHORHILL_HARNESS_SCENARIO_SCENARIO_PARSER_H_
#define CAMPHORHILL_HARNESS_SCENARIO_SCENARIO_PARSER_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace camphor {

/// Where and why a scenario can not be read. Immutable value type.
struct ScenarioError {
  std::size_t line = 0;    ///< from 1
  std::size_t column = 0;  ///< from 1
  std::string message{};   ///< one sentence

  /// "line L column C: message". Thread safety: value type.
  std::string ToString() const;

  auto operator<=>(const ScenarioError&) const = default;
};

/// Values of a step's placeholders, already checked for their types.
class StepArguments {
 public:
  /// True when the step gave the value. Thread safety: value type.
  bool Has(const std::string& name) const { return values_.contains(name); }

  /// A word or a quoted text; the fallback when it was not given. Thread
  /// safety: value type.
  std::string Text(const std::string& name,
                   const std::string& fallback = "") const;

  /// Words joined by commas. Thread safety: value type.
  std::vector<std::string> Names(const std::string& name) const;

  /// A whole number. Thread safety: value type.
  std::size_t Count(const std::string& name, std::size_t fallback = 0) const;

  /// A time such as 5s or 200ms. Thread safety: value type.
  Milliseconds Time(const std::string& name, Milliseconds fallback = {}) const;

 private:
  friend class ScenarioParser;
  std::map<std::string, std::string> values_;
};

/// One step of a scenario.
struct ScenarioStep {
  std::size_t line = 0;       ///< from 1
  std::string text{};         ///< the line as it was written
  std::string form{};         ///< form that it has
  StepArguments arguments{};  ///< values of the form's placeholders
};

/// Reads scenarios: one step a line, `#` begins a comment.
///
/// A step has one of the forms that the parser is made with. A form is words
/// and typed placeholders, for example "kill {hosts:names}" or "start hosts
/// {count:count}"; a part in brackets may be left out, as in "[within
/// {time:time}]", and the rest is then read. Types are text, name, names, count
/// and time.
class ScenarioParser {
 public:
  explicit ScenarioParser(const std::vector<std::string>& forms);

  /// Reads a whole scenario. Returns nothing, with last_reason set, when a line
  /// has none of the forms. Thread safety: one thread.
  std::optional<std::vector<ScenarioStep>> Parse(std::string_view text);

  /// The first fault of the last Parse. Thread safety: one thread.
  const ScenarioError& last_reason() const { return last_reason_; }

 private:
  // One part of a form.
  struct Part {
    std::string word{};    // literal word; empty for a placeholder
    std::string name{};    // placeholder's name
    std::string type{};    // placeholder's type
    std::size_t skip = 0;  // parts to pass over when an optional group, which
                           // begins here, is left out
  };
  struct Form {
    std::string text;
    std::vector<Part> parts;
  };
  struct Token {
    std::string text;
    std::size_t column = 0;
    bool quoted = false;
  };

  static Form ReadForm(const std::string& text);
  static std::optional<std::vector<Token>> Tokenize(std::string_view line,
                                                    ScenarioError& error);
  static bool Match(const Form& form, const std::vector<Token>& tokens,
                    StepArguments& arguments, ScenarioError& error);
  bool ParseLine(std::string_view line, std::size_t number,
                 std::vector<ScenarioStep>& steps);

  std::vector<Form> forms_;
  ScenarioError last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SCENARIO_SCENARIO_PARSER_H_

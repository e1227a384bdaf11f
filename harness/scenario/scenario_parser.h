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

/// Position and message of an error in a scenario. Immutable value type.
struct ScenarioError {
  std::size_t line = 0;    ///< from 1
  std::size_t column = 0;  ///< from 1
  std::string message{};   ///< one sentence

  /// "line L column C: message". Safe for concurrent reads.
  std::string ToString() const;

  auto operator<=>(const ScenarioError&) const = default;
};

/// Type-checked values of the placeholders of a step.
class StepArguments {
 public:
  /// True if the step has a value for this placeholder. Safe for concurrent
  /// reads.
  bool Has(const std::string& name) const { return values_.contains(name); }

  /// Value of type text or name; `fallback` if absent. Safe for concurrent
  /// reads.
  std::string Text(const std::string& name,
                   const std::string& fallback = "") const;

  /// Value of type names, a comma-separated list. Safe for concurrent reads.
  std::vector<std::string> Names(const std::string& name) const;

  /// Value of type count; `fallback` if absent. Safe for concurrent reads.
  std::size_t Count(const std::string& name, std::size_t fallback = 0) const;

  /// Value of type time, such as 5s or 200ms; `fallback` if absent. Safe for
  /// concurrent reads.
  Milliseconds Time(const std::string& name, Milliseconds fallback = {}) const;

 private:
  friend class ScenarioParser;
  std::map<std::string, std::string> values_;
};

/// One step of a scenario.
struct ScenarioStep {
  std::size_t line = 0;       ///< from 1
  std::string text{};         ///< source line
  std::string form{};         ///< form that it matched
  StepArguments arguments{};  ///< values of its placeholders
};

/// Parses scenarios. Each line is one step; `#` starts a comment.
///
/// Each step must match one of the forms given to the constructor. A form
/// consists of words and typed placeholders, for example "kill {hosts:names}"
/// or "start hosts {count:count}"; a part in brackets is optional, as in
/// "[within {time:time}]". The types are text, name, names, count and time.
class ScenarioParser {
 public:
  explicit ScenarioParser(const std::vector<std::string>& forms);

  /// Parses a scenario. Returns nullopt and sets last_reason() if a line
  /// matches no form. Must be called from one thread.
  std::optional<std::vector<ScenarioStep>> Parse(std::string_view text);

  /// Error of the last Parse(). Must be called from one thread.
  const ScenarioError& last_reason() const { return last_reason_; }

 private:
  // One element of a form.
  struct Part {
    std::string word{};    // literal word; empty for a placeholder
    std::string name{};    // placeholder's name
    std::string type{};    // placeholder's type
    std::size_t skip = 0;  // number of parts of the optional group that starts
                           // here; 0 if none does
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

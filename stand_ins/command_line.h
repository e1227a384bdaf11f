#ifndef CAMPHORHILL_STAND_INS_COMMAND_LINE_H_
#define CAMPHORHILL_STAND_INS_COMMAND_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor {

/// Reads the command line of a stand-in: long options that each take a value.
class CommandLine {
 public:
  /// One option.
  struct Option {
    std::string name{};      ///< without the dashes
    std::string help{};      ///< one sentence
    std::string fallback{};  ///< value when it is not given
  };

  explicit CommandLine(std::vector<Option> options);

  /// Reads the arguments. Returns false, with last_reason set, when one is not
  /// known. `--help` prints the options and ends the program. Thread safety:
  /// one thread.
  bool Parse(int argc, const char** argv);

  /// The option's value, or its fallback. @pre the option is known. Thread
  /// safety: any thread after Parse.
  const std::string& Text(const std::string& name) const;

  /// The option's value as a whole number; nothing when it is none. Thread
  /// safety: any thread after Parse.
  std::optional<long> Number(const std::string& name) const;

  /// Why Parse failed. Thread safety: one thread.
  const std::string& last_reason() const { return last_reason_; }

 private:
  std::vector<Option> options_;
  std::map<std::string, std::string> values_;
  std::string last_reason_;
};

/// Blocks SIGTERM and SIGINT for every thread started afterwards, and ignores
/// SIGPIPE. Call first in main.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT. @pre BlockStopSignals was called.
void WaitForStopSignal();

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_COMMAND_LINE_H_

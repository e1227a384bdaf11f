#ifndef CAMPHORHILL_STAND_INS_COMMAND_LINE_H_
#define CAMPHORHILL_STAND_INS_COMMAND_LINE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor {

/// Parses the command line of a stand-in. Every option is long and takes a
/// value.
class CommandLine {
 public:
  struct Option {
    std::string name{};      ///< without the dashes
    std::string help{};      ///< one-line description
    std::string fallback{};  ///< value when the option is absent
  };

  explicit CommandLine(std::vector<Option> options);

  /// Parses the arguments. Returns false and sets last_reason on an unknown
  /// option or a positional argument. `--help` prints the options and exits.
  /// Must be called from one thread.
  bool Parse(int argc, const char** argv);

  /// Returns the option's value, or its fallback. @pre the option was declared.
  /// Thread-safe after Parse.
  const std::string& Text(const std::string& name) const;

  /// Returns the option's value as an integer, or std::nullopt if it is not
  /// one. Thread-safe after Parse.
  std::optional<long> Number(const std::string& name) const;

  /// Reason for the last failure of Parse. Must be called from one thread.
  const std::string& last_reason() const { return last_reason_; }

 private:
  std::vector<Option> options_;
  std::map<std::string, std::string> values_;
  std::string last_reason_;
};

/// Blocks SIGTERM and SIGINT in the calling thread and in all threads started
/// afterwards, and ignores SIGPIPE. Must be called first in main.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT. @pre BlockStopSignals was called.
void WaitForStopSignal();

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_COMMAND_LINE_H_

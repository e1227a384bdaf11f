#ifndef CAMPHORHILL_NODE_COMMAND_LINE_H_
#define CAMPHORHILL_NODE_COMMAND_LINE_H_

#include <optional>
#include <string>

namespace camphor {

/// What camphord was told on its command line.
struct CommandLine {
  std::string settings_file;  ///< file to read the settings from
  bool check = false;         ///< check the settings and exit
  bool version = false;       ///< print the version and exit

  /// Reads the arguments; prints help and exits on --help. Returns nothing,
  /// with `reason` set, when they are wrong. Thread safety: the main thread.
  static std::optional<CommandLine> Parse(int argc, const char** argv,
                                          std::string& reason);
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_COMMAND_LINE_H_

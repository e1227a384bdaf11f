#ifndef CAMPHORHILL_NODE_COMMAND_LINE_H_
#define CAMPHORHILL_NODE_COMMAND_LINE_H_

#include <optional>
#include <string>

namespace camphor {

/// Parsed command line of camphord.
struct CommandLine {
  std::string settings_file;  ///< path of the settings file
  bool check = false;         ///< check the settings and exit
  bool version = false;       ///< print the version and exit

  /// Parses the arguments; prints help and exits on --help. Returns an empty
  /// optional and sets `reason` if they are invalid. Must be called from the
  /// main thread.
  static std::optional<CommandLine> Parse(int argc, const char** argv,
                                          std::string& reason);
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_COMMAND_LINE_H_

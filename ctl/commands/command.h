#ifndef CAMPHORHILL_CTL_COMMANDS_COMMAND_H_
#define CAMPHORHILL_CTL_COMMANDS_COMMAND_H_

#include <boost/json/fwd.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ctl/ctl_options.h"
#include "ctl/http/node_client.h"

namespace camphor {

/// Inputs of a command.
struct CommandContext {
  const CtlOptions& options;           ///< command line
  NodeClient& client;                  ///< sends requests to the nodes
  std::vector<std::string> arguments;  ///< without the command name
};

/// One command of camphorctl.
struct Command {
  std::string name;     ///< first command-line argument
  std::string usage;    ///< synopsis of its arguments
  std::string summary;  ///< one line for the command list
  std::string help;     ///< details for the help of this command
  int (*run)(CommandContext&) = nullptr;  ///< returns an exit code
  bool needs_node = true;                 ///< false: runs without --nodes
};

/// Prints "camphorctl: " and the message to standard error. Thread-safe.
void PrintError(const std::string& message);

/// Prints a usage error and returns kCtlInvalid. Thread-safe.
int ReportUsageError(const std::string& message);

/// Reports a missing response or an error response and returns the matching
/// exit code. Must be called from one thread.
int ReportFailure(const CommandContext& context,
                  const std::optional<NodeResponse>& response);

/// Sends a request and parses the JSON response. Unless the status is 2xx and
/// the body is valid JSON, reports the error, sets `exit` and returns nullopt.
/// Must be called from one thread.
std::optional<boost::json::value> Call(CommandContext& context,
                                       const NodeRequest& request, int& exit);

/// Value of a member as text; "" if absent. Thread-safe.
std::string MemberText(const boost::json::value& object,
                       const std::string& key);

/// Numeric value of a member; 0 if absent or not a number. Thread-safe.
std::uint64_t MemberNumber(const boost::json::value& object,
                           const std::string& key);

/// API path of a rollout, with each segment of its id percent-encoded.
/// Thread-safe.
std::string RolloutPath(const std::string& id);

/// Formats a share given in millionths as a percentage, for example "12.5%".
/// Thread-safe.
std::string ShareText(std::uint64_t share_ppm);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_COMMAND_H_

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

/// What a command works with.
struct CommandContext {
  const CtlOptions& options;           ///< command line
  NodeClient& client;                  ///< calls the nodes
  std::vector<std::string> arguments;  ///< without the command's own name
};

/// One command of camphorctl.
struct Command {
  std::string name;                       ///< first argument
  std::string usage;                      ///< its arguments
  std::string summary;                    ///< one line for the list
  std::string help;                       ///< lines for its own help
  int (*run)(CommandContext&) = nullptr;  ///< returns an exit code
  bool needs_node = true;                 ///< false: works without any node
};

/// Prints to standard error: "camphorctl: sentence". Thread safety: any thread.
void PrintError(const std::string& sentence);

/// Prints what is wrong with the arguments and returns kCtlInvalid. Thread
/// safety: any thread.
int WrongArguments(const std::string& sentence);

/// Reports that no node answered or that one refused, and returns the exit code
/// for it. Thread safety: one thread.
int ReportFailure(const CommandContext& context,
                  const std::optional<NodeResponse>& response);

/// Sends a request and parses the answer. Returns nothing, having reported why
/// and set `exit`, unless the status is 2xx. Thread safety: one thread.
std::optional<boost::json::value> Call(CommandContext& context,
                                       const NodeRequest& request, int& exit);

/// Text of a member for people; "" when it is not there. Thread safety: any
/// thread.
std::string TextOf(const boost::json::value& object, const std::string& key);

/// Number of a member; 0 when it is not there. Thread safety: any thread.
std::uint64_t NumberOf(const boost::json::value& object,
                       const std::string& key);

/// Path of a rollout, each part of its id percent-encoded. Thread safety: any
/// thread.
std::string RolloutPath(const std::string& id);

/// A share in millionths as "12.5%". Thread safety: any thread.
std::string ShareText(std::uint64_t share_ppm);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_COMMAND_H_

#include <fmt/core.h>

#include <optional>
#include <string>

#include "ctl/command_list.h"
#include "ctl/ctl_options.h"
#include "ctl/http/node_client.h"

namespace camphor {
namespace {

int Main(int argc, const char** argv) {
  std::string reason;
  const std::optional<CtlOptions> options =
      CtlOptions::Parse(argc, argv, reason);
  if (!options.has_value()) return ReportUsageError(reason);
  if (options->version) {
    fmt::print("camphorctl {}\n", CAMPHOR_VERSION);
    return kCtlOk;
  }
  const std::vector<std::string>& arguments = options->arguments;
  const Command* const command =
      arguments.empty() ? nullptr : FindCommand(arguments[0]);
  if (options->help) {
    fmt::print("{}", HelpText(command));
    return kCtlOk;
  }
  if (command == nullptr) {
    return ReportUsageError(arguments.empty()
                                ? "a command is required"
                                : "unknown command " + arguments[0]);
  }
  if (command->needs_node && options->nodes.empty()) {
    return ReportUsageError(
        "set at least one node with --nodes or CAMPHOR_NODES");
  }
  NodeClient client({.nodes = options->nodes, .token = options->token});
  CommandContext context{
      *options, client, {arguments.begin() + 1, arguments.end()}};
  return command->run(context);
}

}  // namespace
}  // namespace camphor

int main(int argc, const char** argv) { return camphor::Main(argc, argv); }

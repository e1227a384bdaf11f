#include "ctl/command_list.h"

#include <fmt/format.h>

#include "ctl/commands/apply_command.h"
#include "ctl/commands/get_command.h"
#include "ctl/commands/log_commands.h"
#include "ctl/commands/node_commands.h"
#include "ctl/commands/preview_command.h"
#include "ctl/commands/rollout_command.h"
#include "ctl/commands/watch_command.h"

namespace camphor {
namespace {

constexpr char kOptionsHelp[] = R"(
Options:
  -n, --nodes A,B        admin addresses of nodes, tried in order
                         (default: environment variable CAMPHOR_NODES)
  -t, --token-file FILE  file with the operator token in its first line
                         (default: environment variable CAMPHOR_TOKEN)
  -j, --json             print JSON
      --logs DIR|FILE|-  logs for explain and logs (default: -, standard
                         input)
      --method M, --host H, --path P, --header "Name: value", --file FILE|-
                         request of preview; see its help
      --timeout SECONDS  maximum wait of watch and apply --wait (default: 120)
  -h, --help             print this, or the help of a command
  -V, --version          print the version

Exit codes:
  0  done
  1  no node answered, or the node refused
  2  invalid arguments or tables
  3  conflict: another edit was accepted first
  4  the watched rollout was rolled back
  5  --timeout expired
  6  the outcome of the edit is unknown
)";

}  // namespace

const std::vector<Command>& CommandList() {
  static const std::vector<Command> commands = {
      GetCommand(),     ApplyCommand(), WatchCommand(),    RolloutCommand(),
      DumpCommand(),    DrainCommand(), LogLevelCommand(), PreviewCommand(),
      ExplainCommand(), LogsCommand()};
  return commands;
}

const Command* FindCommand(const std::string& name) {
  for (const Command& command : CommandList()) {
    if (command.name == name) return &command;
  }
  return nullptr;
}

std::string HelpText(const Command* command) {
  if (command != nullptr) {
    return fmt::format("Usage: camphorctl {} {}\n{}.\n\n{}\n{}", command->name,
                       command->usage, command->summary, command->help,
                       kOptionsHelp);
  }
  std::string text = "Usage: camphorctl COMMAND [ARGUMENTS] [OPTIONS]\n\n";
  for (const Command& each : CommandList()) {
    text += fmt::format("  {:<10} {}\n", each.name, each.summary);
  }
  return text + kOptionsHelp;
}

}  // namespace camphor

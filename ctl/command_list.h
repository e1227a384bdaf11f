#ifndef CAMPHORHILL_CTL_COMMAND_LIST_H_
#define CAMPHORHILL_CTL_COMMAND_LIST_H_

#include <string>
#include <vector>

#include "ctl/commands/command.h"

namespace camphor {

/// All commands of camphorctl. Thread-safe.
const std::vector<Command>& CommandList();

/// Returns the command with this name, or null. Thread-safe.
const Command* FindCommand(const std::string& name);

/// Help text of `command`, or of the whole program if null. Thread-safe.
std::string HelpText(const Command* command);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMAND_LIST_H_

#ifndef CAMPHORHILL_CTL_COMMAND_LIST_H_
#define CAMPHORHILL_CTL_COMMAND_LIST_H_

#include <string>
#include <vector>

#include "ctl/commands/command.h"

namespace camphor {

/// Every command of camphorctl.
const std::vector<Command>& CommandList();

/// The command of the given name, or null. Thread safety: any thread.
const Command* FindCommand(const std::string& name);

/// Help of the whole program, or of one command. Thread safety: any thread.
std::string HelpText(const Command* command);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMAND_LIST_H_

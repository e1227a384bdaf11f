#ifndef CAMPHORHILL_CTL_COMMANDS_APPLY_COMMAND_H_
#define CAMPHORHILL_CTL_COMMANDS_APPLY_COMMAND_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `apply FILE`: replaces the configuration with the tables of a file.
Command ApplyCommand();

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_APPLY_COMMAND_H_

#ifndef CAMPHORHILL_CTL_COMMANDS_APPLY_COMMAND_H_
#define CAMPHORHILL_CTL_COMMANDS_APPLY_COMMAND_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `apply FILE`: makes the tables of a file the configuration.
Command ApplyCommand();

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_APPLY_COMMAND_H_

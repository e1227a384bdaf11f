#ifndef CAMPHORHILL_CTL_COMMANDS_ROLLOUT_COMMAND_H_
#define CAMPHORHILL_CTL_COMMANDS_ROLLOUT_COMMAND_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `rollout list|get|abort|hurry`.
Command RolloutCommand();

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_ROLLOUT_COMMAND_H_

#ifndef CAMPHORHILL_CTL_COMMANDS_GET_COMMAND_H_
#define CAMPHORHILL_CTL_COMMANDS_GET_COMMAND_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `get WHAT`: shows tables, hosts, targets, rollouts or the node status.
Command GetCommand();

/// Prints one rollout with its evidence as text. Thread-safe.
void PrintRollout(const boost::json::value& rollout);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_GET_COMMAND_H_

#ifndef CAMPHORHILL_CTL_COMMANDS_NODE_COMMANDS_H_
#define CAMPHORHILL_CTL_COMMANDS_NODE_COMMANDS_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `dump`: the state of every part of one node.
Command DumpCommand();

/// `drain`: one node goes in good order.
Command DrainCommand();

/// `log-level LEVEL`: what one node logs.
Command LogLevelCommand();

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_NODE_COMMANDS_H_

#ifndef CAMPHORHILL_CTL_COMMANDS_NODE_COMMANDS_H_
#define CAMPHORHILL_CTL_COMMANDS_NODE_COMMANDS_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `dump`: prints the state of every component of one node.
Command DumpCommand();

/// `drain`: shuts one node down gracefully.
Command DrainCommand();

/// `log-level LEVEL`: sets the log level of one node.
Command LogLevelCommand();

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_NODE_COMMANDS_H_

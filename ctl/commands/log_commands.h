#ifndef CAMPHORHILL_CTL_COMMANDS_LOG_COMMANDS_H_
#define CAMPHORHILL_CTL_COMMANDS_LOG_COMMANDS_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `explain`: why one request ended as it did, from logs alone.
Command ExplainCommand();

/// `logs`: lines of logs by part, request, sentence or time.
Command LogsCommand();

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_LOG_COMMANDS_H_

#ifndef CAMPHORHILL_CTL_COMMANDS_LOG_COMMANDS_H_
#define CAMPHORHILL_CTL_COMMANDS_LOG_COMMANDS_H_

#include "ctl/commands/command.h"

namespace camphor {

/// `explain`: explains the outcome of one request from logs.
Command ExplainCommand();

/// `logs`: filters log lines by part, request, sentence or time.
Command LogsCommand();

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_LOG_COMMANDS_H_

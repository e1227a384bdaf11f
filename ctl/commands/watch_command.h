#ifndef CAMPHORHILL_CTL_COMMANDS_WATCH_COMMAND_H_
#define CAMPHORHILL_CTL_COMMANDS_WATCH_COMMAND_H_

#include "core/config/config_head.h"
#include "ctl/commands/command.h"

namespace camphor {

/// `watch version [N]` and `watch rollout ID`.
Command WatchCommand();

/// Prints the progress of a version until every live host serves it or the
/// timeout expires. Returns an exit code. Must be called from one thread.
int WatchVersion(CommandContext& context, ConfigVersion version);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_WATCH_COMMAND_H_

#ifndef CAMPHORHILL_CTL_COMMANDS_PREVIEW_COMMAND_H_
#define CAMPHORHILL_CTL_COMMANDS_PREVIEW_COMMAND_H_

#include <string>

#include "ctl/commands/command.h"

namespace camphor {

/// `preview`: shows where a request would go now, without sending it.
Command PreviewCommand();

/// Formats the response of POST /v1/preview as text. Members that are missing,
/// for example in the response of another version, are shown as unknown.
/// Thread-safe.
std::string PreviewText(const boost::json::value& preview);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_COMMANDS_PREVIEW_COMMAND_H_

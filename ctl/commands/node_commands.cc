#include "ctl/commands/node_commands.h"

#include <fmt/core.h>

#include <boost/json.hpp>

namespace camphor {
namespace {

/// These commands apply to one specific node, so there must be no failover to
/// another one.
bool HasOneNode(const CommandContext& context) {
  if (context.options.nodes.size() == 1) return true;
  PrintError("this command requires exactly one node in --nodes");
  return false;
}

int RunDump(CommandContext& context) {
  if (!HasOneNode(context)) return kCtlInvalid;
  int exit = kCtlOk;
  const auto body = Call(context, {.path = "/v1/dump"}, exit);
  if (!body.has_value()) return exit;
  fmt::print("{}\n", boost::json::serialize(*body));
  return kCtlOk;
}

int RunDrain(CommandContext& context) {
  if (!HasOneNode(context)) return kCtlInvalid;
  int exit = kCtlOk;
  const auto body =
      Call(context, {.method = "POST", .path = "/v1/drain"}, exit);
  if (!body.has_value()) return exit;
  fmt::print("node {} is draining\n", context.options.nodes[0].ToString());
  return kCtlOk;
}

int RunLogLevel(CommandContext& context) {
  if (!HasOneNode(context)) return kCtlInvalid;
  if (context.arguments.size() != 1) {
    return ReportUsageError("log-level requires exactly one level");
  }
  int exit = kCtlOk;
  const boost::json::object wanted{{"level", context.arguments[0]}};
  const auto body = Call(context,
                         {.method = "PUT",
                          .path = "/v1/log_level",
                          .body = boost::json::serialize(wanted)},
                         exit);
  if (!body.has_value()) return exit;
  fmt::print("level {}\n", MemberText(*body, "level"));
  return kCtlOk;
}

}  // namespace

Command DumpCommand() {
  return {.name = "dump",
          .usage = "",
          .summary = "print the state of every component of one node as JSON",
          .help = "Requires exactly one node in --nodes.",
          .run = &RunDump};
}

Command DrainCommand() {
  return {.name = "drain",
          .usage = "",
          .summary = "shut one node down after its requests in flight",
          .help = "Requires exactly one node in --nodes.",
          .run = &RunDrain};
}

Command LogLevelCommand() {
  return {.name = "log-level",
          .usage = "debug|info|warning|error",
          .summary = "set the log level of one node until its next restart",
          .help = "Requires exactly one node in --nodes.",
          .run = &RunLogLevel};
}

}  // namespace camphor

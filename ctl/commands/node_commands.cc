#include "ctl/commands/node_commands.h"

#include <fmt/core.h>

#include <boost/json.hpp>

namespace camphor {
namespace {

/// These commands mean one node; trying another one would hit the wrong one.
bool HasOneNode(const CommandContext& context) {
  if (context.options.nodes.size() == 1) return true;
  PrintError("this command needs exactly one node in --nodes");
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
  fmt::print("node {} drains\n", context.options.nodes[0].ToString());
  return kCtlOk;
}

int RunLogLevel(CommandContext& context) {
  if (!HasOneNode(context)) return kCtlInvalid;
  if (context.arguments.size() != 1) {
    return WrongArguments("log-level needs a level");
  }
  int exit = kCtlOk;
  const boost::json::object wanted{{"level", context.arguments[0]}};
  const auto body = Call(context,
                         {.method = "PUT",
                          .path = "/v1/log_level",
                          .body = boost::json::serialize(wanted)},
                         exit);
  if (!body.has_value()) return exit;
  fmt::print("level {}\n", TextOf(*body, "level"));
  return kCtlOk;
}

}  // namespace

Command DumpCommand() {
  return {.name = "dump",
          .usage = "",
          .summary = "print the state of every part of one node, as JSON",
          .help = "Needs exactly one node in --nodes.",
          .run = &RunDump};
}

Command DrainCommand() {
  return {.name = "drain",
          .usage = "",
          .summary = "one node leaves, finishes what is in flight and exits",
          .help = "Needs exactly one node in --nodes.",
          .run = &RunDrain};
}

Command LogLevelCommand() {
  return {.name = "log-level",
          .usage = "debug|info|warning|error",
          .summary = "set what one node logs until it is started again",
          .help = "Needs exactly one node in --nodes.",
          .run = &RunLogLevel};
}

}  // namespace camphor

#include "ctl/commands/rollout_command.h"

#include <fmt/core.h>

#include <boost/json.hpp>

#include "ctl/commands/get_command.h"

namespace camphor {
namespace {

int Get(CommandContext& context, const std::string& id) {
  int exit = kCtlOk;
  const auto rollout = Call(context, {.path = RolloutPath(id)}, exit);
  if (!rollout.has_value()) return exit;
  if (context.options.json) {
    fmt::print("{}\n", boost::json::serialize(*rollout));
  } else {
    PrintRollout(*rollout);
  }
  return kCtlOk;
}

int Change(CommandContext& context, const std::string& id,
           const std::string& action) {
  int exit = kCtlOk;
  const auto answer =
      Call(context, {.method = "POST", .path = RolloutPath(id) + "/" + action},
           exit);
  if (!answer.has_value()) return exit;
  if (context.options.json) {
    fmt::print("{}\n", boost::json::serialize(*answer));
  } else {
    fmt::print("{} requested for rollout {}\n", action, id);
  }
  return kCtlOk;
}

int Run(CommandContext& context) {
  const std::vector<std::string>& arguments = context.arguments;
  if (arguments.size() == 1 && arguments[0] == "list") {
    CommandContext list{context.options, context.client, {"rollouts"}};
    return GetCommand().run(list);
  }
  if (arguments.size() != 2) {
    return ReportUsageError(
        "rollout requires list, or get, abort or hurry with an id");
  }
  const std::string& action = arguments[0];
  if (action == "get") return Get(context, arguments[1]);
  if (action == "abort" || action == "hurry") {
    return Change(context, arguments[1], action);
  }
  return ReportUsageError("unknown action for rollout: " + action);
}

}  // namespace

Command RolloutCommand() {
  return {.name = "rollout",
          .usage = "list | get ID | abort ID | hurry ID",
          .summary = "list rollouts; show, abort or accelerate one",
          .help =
              "ID is pool/from/to/attempt, as listed by `get rollouts`.\n"
              "abort: permanently returns all traffic to the old version.\n"
              "hurry: ramps up faster; bad versions are still rolled back.",
          .run = &Run};
}

}  // namespace camphor

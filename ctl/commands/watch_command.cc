#include "ctl/commands/watch_command.h"

#include <fmt/core.h>

#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <functional>
#include <thread>

#include "ctl/commands/get_command.h"

namespace camphor {
namespace {

constexpr Milliseconds kPollInterval{200};

/// How many live hosts serve a version.
struct Progress {
  std::uint64_t live = 0;     ///< hosts that are alive or only suspected
  std::uint64_t serving = 0;  ///< of these: serve the version or a newer one
  std::string behind{};       ///< some of those that do not

  auto operator<=>(const Progress&) const = default;
};

Progress ProgressOf(const boost::json::value& body, ConfigVersion version) {
  constexpr std::size_t kMostNamed = 5;
  Progress progress;
  for (const boost::json::value& host : body.at("hosts").as_array()) {
    const std::string status = TextOf(host, "status");
    if (status != "alive" && status != "suspect") continue;
    ++progress.live;
    if (NumberOf(host, "config_version") >= version) {
      ++progress.serving;
    } else if (progress.live - progress.serving <= kMostNamed) {
      progress.behind += " " + TextOf(host, "host");
    }
  }
  return progress;
}

/// Calls `step` until it gives an exit code or the time has passed.
int PollUntil(const CommandContext& context,
              const std::function<std::optional<int>()>& step) {
  const auto deadline =
      std::chrono::steady_clock::now() + context.options.timeout;
  while (true) {
    const std::optional<int> exit = step();
    if (exit.has_value()) return *exit;
    if (std::chrono::steady_clock::now() >= deadline) {
      PrintError("the time to wait has passed");
      return kCtlTimeout;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int WatchRollout(CommandContext& context, const std::string& id) {
  std::string shown;
  return PollUntil(context, [&]() -> std::optional<int> {
    int exit = kCtlOk;
    const auto rollout = Call(context, {.path = RolloutPath(id)}, exit);
    if (!rollout.has_value()) return exit;
    const std::string stage = TextOf(*rollout, "stage");
    const std::string line = fmt::format(
        "{} at {}", stage, ShareText(NumberOf(*rollout, "share_ppm")));
    const bool final = stage == "done" || stage == "rolled_back";
    if (line != shown && !context.options.json) {
      fmt::print("{}\n", line);
      std::fflush(stdout);
    }
    shown = line;
    if (!final) return std::nullopt;
    if (context.options.json) {
      fmt::print("{}\n", boost::json::serialize(*rollout));
    } else {
      PrintRollout(*rollout);
    }
    return stage == "done" ? kCtlOk : kCtlRolledBack;
  });
}

int Run(CommandContext& context) {
  const std::vector<std::string>& arguments = context.arguments;
  if (arguments.size() == 2 && arguments[0] == "rollout") {
    return WatchRollout(context, arguments[1]);
  }
  if (arguments.empty() || arguments[0] != "version" || arguments.size() > 2) {
    return WrongArguments("watch needs version [N] or rollout ID");
  }
  ConfigVersion version = 0;
  if (arguments.size() == 2) {
    const std::string& text = arguments[1];
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, version);
    if (error != std::errc() || rest != end) {
      return WrongArguments(text + " is not a version");
    }
  } else {
    int exit = kCtlOk;
    const auto status = Call(context, {.path = "/v1/status"}, exit);
    if (!status.has_value()) return exit;
    version = NumberOf(*status, "version");
  }
  return WatchVersion(context, version);
}

}  // namespace

int WatchVersion(CommandContext& context, ConfigVersion version) {
  Progress shown;
  return PollUntil(context, [&]() -> std::optional<int> {
    int exit = kCtlOk;
    const auto body = Call(context, {.path = "/v1/hosts"}, exit);
    if (!body.has_value()) return exit;
    const Progress progress = ProgressOf(*body, version);
    const bool everywhere =
        progress.live > 0 && progress.serving == progress.live;
    if (progress != shown && !context.options.json) {
      fmt::print(
          "version {}: {} of {} live hosts{}{}\n", version, progress.serving,
          progress.live,
          everywhere ? ", in force everywhere" : "; not yet:", progress.behind);
      std::fflush(stdout);
    }
    shown = progress;
    if (!everywhere) return std::nullopt;
    if (context.options.json) {
      fmt::print("{}\n", boost::json::serialize(boost::json::object{
                             {"version", version}, {"hosts", progress.live}}));
    }
    return kCtlOk;
  });
}

Command WatchCommand() {
  return {.name = "watch",
          .usage = "version [N] | rollout ID   [--timeout SECONDS]",
          .summary = "show a version or a rollout until it has come through",
          .help =
              "version: until every live host serves version N, or the newest "
              "one.\n"
              "rollout: until it is done (exit 0) or rolled back (exit 4).\n"
              "Exits 5 when the time to wait has passed.",
          .run = &Run};
}

}  // namespace camphor

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

/// Number of live hosts that serve a version.
struct Progress {
  std::uint64_t live = 0;     ///< hosts that are alive or suspect
  std::uint64_t serving = 0;  ///< live hosts at the version or a newer one
  std::string lagging{};      ///< names of some live hosts at older versions

  auto operator<=>(const Progress&) const = default;
};

Progress MeasureProgress(const boost::json::value& body,
                         ConfigVersion version) {
  constexpr std::size_t kMaxNamedHosts = 5;
  Progress progress;
  for (const boost::json::value& host : body.at("hosts").as_array()) {
    const std::string status = MemberText(host, "status");
    if (status != "alive" && status != "suspect") continue;
    ++progress.live;
    if (MemberNumber(host, "config_version") >= version) {
      ++progress.serving;
    } else if (progress.live - progress.serving <= kMaxNamedHosts) {
      progress.lagging += " " + MemberText(host, "host");
    }
  }
  return progress;
}

/// Calls `step` periodically until it returns an exit code or --timeout
/// expires.
int PollUntil(const CommandContext& context,
              const std::function<std::optional<int>()>& step) {
  const auto deadline =
      std::chrono::steady_clock::now() + context.options.timeout;
  while (true) {
    const std::optional<int> exit = step();
    if (exit.has_value()) return *exit;
    if (std::chrono::steady_clock::now() >= deadline) {
      PrintError("timed out");
      return kCtlTimeout;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int WatchRollout(CommandContext& context, const std::string& id) {
  std::string last_printed;
  return PollUntil(context, [&]() -> std::optional<int> {
    int exit = kCtlOk;
    const auto rollout = Call(context, {.path = RolloutPath(id)}, exit);
    if (!rollout.has_value()) return exit;
    const std::string stage = MemberText(*rollout, "stage");
    const std::string line = fmt::format(
        "{} at {}", stage, ShareText(MemberNumber(*rollout, "share_ppm")));
    const bool final = stage == "done" || stage == "rolled_back";
    if (line != last_printed && !context.options.json) {
      fmt::print("{}\n", line);
      std::fflush(stdout);
    }
    last_printed = line;
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
    return ReportUsageError("watch requires version [N] or rollout ID");
  }
  ConfigVersion version = 0;
  if (arguments.size() == 2) {
    const std::string& text = arguments[1];
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, version);
    if (error != std::errc() || rest != end) {
      return ReportUsageError(text + " is not a version number");
    }
  } else {
    int exit = kCtlOk;
    const auto status = Call(context, {.path = "/v1/status"}, exit);
    if (!status.has_value()) return exit;
    version = MemberNumber(*status, "version");
  }
  return WatchVersion(context, version);
}

}  // namespace

int WatchVersion(CommandContext& context, ConfigVersion version) {
  Progress last_printed;
  return PollUntil(context, [&]() -> std::optional<int> {
    int exit = kCtlOk;
    const auto body = Call(context, {.path = "/v1/hosts"}, exit);
    if (!body.has_value()) return exit;
    const Progress progress = MeasureProgress(*body, version);
    const bool complete =
        progress.live > 0 && progress.serving == progress.live;
    if (progress != last_printed && !context.options.json) {
      fmt::print("version {}: served by {} of {} live hosts{}{}\n", version,
                 progress.serving, progress.live,
                 complete ? ", complete" : "; waiting for:", progress.lagging);
      std::fflush(stdout);
    }
    last_printed = progress;
    if (!complete) return std::nullopt;
    if (context.options.json) {
      fmt::print("{}\n", boost::json::serialize(boost::json::object{
                             {"version", version}, {"hosts", progress.live}}));
    }
    return kCtlOk;
  });
}

Command WatchCommand() {
  return {
      .name = "watch",
      .usage = "version [N] | rollout ID   [--timeout SECONDS]",
      .summary = "watch a version or a rollout until it completes",
      .help =
          "version: until every live host serves version N (default: the "
          "newest one).\n"
          "rollout: until it is done (exit code 0) or rolled back (exit code "
          "4).\n"
          "Exits with 5 when --timeout expires.",
      .run = &Run};
}

}  // namespace camphor

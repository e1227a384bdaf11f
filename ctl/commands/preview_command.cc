#include "ctl/commands/preview_command.h"

#include <fmt/core.h>
#include <fmt/format.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <string_view>
#include <vector>

#include "ctl/commands/preview_request.h"
#include "ctl/text/text_table.h"

namespace camphor {
namespace {

using boost::json::value;

constexpr std::string_view kUnknown = "unknown";

/// Returns the member at the path of keys; null if there is none.
const value* Find(const value& parent, std::string_view key) {
  const value* const found =
      parent.is_object() ? parent.as_object().if_contains(key) : nullptr;
  return found == nullptr || found->is_null() ? nullptr : found;
}

/// Formats a number with at most two decimals, and other values as they are.
std::string TextOf(const value& given) {
  if (given.is_string()) return std::string(given.as_string());
  if (given.is_bool()) return given.as_bool() ? "yes" : "no";
  if (given.is_double()) {
    std::string text = fmt::format("{:.2f}", given.as_double());
    while (text.ends_with('0')) text.pop_back();
    if (text.ends_with('.')) text.pop_back();
    return text;
  }
  return boost::json::serialize(given);
}

std::string Get(const value& parent, std::string_view key,
                std::string_view absent = kUnknown) {
  const value* const found = Find(parent, key);
  return found == nullptr ? std::string(absent) : TextOf(*found);
}

bool IsTrue(const value& parent, std::string_view key) {
  const value* const found = Find(parent, key);
  return found != nullptr && found->is_bool() && found->as_bool();
}

/// Returns the rows of a list; empty if there is none.
boost::json::array Rows(const value& parent, std::string_view key) {
  const value* const found = Find(parent, key);
  return found != nullptr && found->is_array() ? found->as_array()
                                               : boost::json::array();
}

std::string Age(const value& parent, std::string_view key) {
  const value* const found = Find(parent, key);
  return found == nullptr ? "age unknown" : TextOf(*found) + " ms old";
}

std::string Line(std::string_view label, std::string_view text) {
  return fmt::format("{:<15}{}\n", label, text);
}

std::string KeyText(const value& preview) {
  const value* const key = Find(preview, "key");
  if (key == nullptr) return std::string(kUnknown);
  std::string text = Get(*key, "status");
  if (Find(*key, "digest") != nullptr)
    text += " (digest " + Get(*key, "digest") + "...)";
  if (Find(*key, "keys_accepted_here") != nullptr &&
      !IsTrue(*key, "keys_accepted_here"))
    text += "; this host refuses keys: its configuration may be too old";
  return text;
}

std::string QuotaText(const value& quota) {
  std::string text =
      fmt::format("{} a second, burst {}\n", Get(quota, "requests_per_second"),
                  Get(quota, "burst"));
  const value* const here = Find(quota, "on_this_host");
  if (here == nullptr) {
    text += Line("  this host", kUnknown);
  } else {
    const value* const lease = Find(*here, "lease_left_ms");
    text += Line(
        "  this host",
        fmt::format("{} left, {} at {} a second, {}",
                    Get(*here, "remaining_requests"),
                    IsTrue(*here, "limited") ? "limited" : "not limited",
                    Get(*here, "requests_per_second"),
                    lease == nullptr ? "no lease"
                                     : "lease for " + TextOf(*lease) + " ms"));
  }
  const value* const all = Find(quota, "over_all_hosts");
  text += Line("  all hosts", all == nullptr
                                  ? "unknown here; the allocator is host " +
                                        Get(quota, "allocator")
                                  : fmt::format("{} left, demand {} a second",
                                                Get(*all, "remaining_requests"),
                                                Get(*all, "demand_per_s")));
  return text;
}

std::string PoolText(const value& pool) {
  std::string text = Line("pool", Get(pool, "name"));
  for (const value& share : Rows(pool, "split")) {
    text += Line("  split", fmt::format("{} weight {}", Get(share, "pool"),
                                        Get(share, "weight")));
  }
  for (const value& version : Rows(pool, "versions")) {
    text += Line(
        "  version",
        fmt::format("{} gets {}, {} targets", Get(version, "version", "any"),
                    ShareText(MemberNumber(version, "share_ppm")),
                    Get(version, "targets")));
  }
  const value* const rollout = Find(pool, "rollout");
  if (rollout != nullptr) {
    text += Line("  rollout", fmt::format("{} in stage {}", Get(*rollout, "id"),
                                          Get(*rollout, "stage")));
  }
  return text;
}

/// Formats the slots in use and the queue, with the age of a report.
std::string LoadText(const value& target) {
  if (Find(target, "slots_in_use") != nullptr) {
    return fmt::format("{}+{} of {}", Get(target, "slots_in_use"),
                       Get(target, "queue"), Get(target, "slots"));
  }
  if (Find(target, "slots_in_use_and_queue") == nullptr)
    return std::string(kUnknown);
  return fmt::format("{} of {}, {}", Get(target, "slots_in_use_and_queue"),
                     Get(target, "slots"), Age(target, "load_age_ms"));
}

std::string TargetsText(const value& preview) {
  TextTable table({"target", "host", "failure_domain", "version", "speed",
                   "slots+queue", "from_here", "excluded"});
  for (const value& target : Rows(preview, "targets")) {
    const bool known = Find(target, "speed") != nullptr;
    std::string excluded = Get(target, "excluded", "-");
    if (Find(target, "limited_by") != nullptr)
      excluded = "no, but " + Get(target, "limited_by");
    table.Add({Get(target, "id"), Get(target, "host"),
               Get(target, "failure_domain"), Get(target, "version"),
               known ? fmt::format("{}, {}", Get(target, "speed"),
                                   Age(target, "speed_age_ms"))
                     : std::string(kUnknown),
               LoadText(target), Get(target, "in_flight_from_this_host", "-"),
               excluded});
  }
  return table.ToText();
}

std::string OutcomeText(const value& preview) {
  const value* const outcome = Find(preview, "outcome");
  if (outcome == nullptr) return std::string(kUnknown);
  std::string kind = Get(*outcome, "kind");
  if (kind == "runs") return "runs at once";
  if (kind == "waits") return "waits for a slot";
  if (kind == "sent")
    return "sent to the host of the target, which decides; whether it waits is "
           "not known here";
  if (kind != "refused") return kind;
  std::string text =
      fmt::format("refused with {} {}: {}", Get(*outcome, "status"),
                  Get(*outcome, "reason"), Get(*outcome, "message"));
  if (Find(*outcome, "retry_after_ms") != nullptr)
    text += fmt::format("; Retry-After {} ms", Get(*outcome, "retry_after_ms"));
  return text;
}

std::string ChoiceText(const value& preview) {
  const value* const chosen = Find(preview, "chosen");
  std::string text = Line(
      "chosen",
      chosen == nullptr
          ? "none"
          : fmt::format("{} on {} in {}, version {}", Get(*chosen, "target"),
                        Get(*chosen, "host"), Get(*chosen, "failure_domain"),
                        Get(*chosen, "version")));
  if (IsTrue(preview, "random")) {
    std::string drawn;
    for (const value& target : Rows(preview, "drawn"))
      drawn += (drawn.empty() ? "" : " and ") + TextOf(target);
    text += Line("", "at random: drawn " + (drawn.empty() ? "none" : drawn));
  }
  for (const value& attempt : Rows(preview, "attempts")) {
    if (Find(attempt, "refused_by_this_host") == nullptr) continue;
    text += Line("", fmt::format("{} of this host refuses it: {}",
                                 Get(attempt, "target"),
                                 Get(attempt, "refused_by_this_host")));
  }
  return text;
}

std::optional<boost::json::object> ReadInput(const CtlOptions& options,
                                             std::string& reason) {
  if (options.file.empty()) return MakePreviewBody(options, reason);
  if (!options.method.empty() || !options.host.empty() ||
      !options.path.empty() || !options.headers.empty()) {
    reason =
        "--file: cannot be combined with --method, --host, --path or --header";
    return std::nullopt;
  }
  std::ifstream file;
  if (options.file != "-") {
    file.open(options.file);
    if (!file) {
      reason = "--file: cannot read " + options.file;
      return std::nullopt;
    }
  }
  auto body = ReadRequestHead(options.file == "-" ? std::cin : file, reason);
  if (!body) reason = "--file: " + options.file + ", " + reason;
  return body;
}

int Run(CommandContext& context) {
  if (!context.arguments.empty())
    return ReportUsageError("preview takes options only");
  std::string reason;
  const auto body = ReadInput(context.options, reason);
  if (!body) return ReportUsageError(reason);
  int exit = kCtlOk;
  const auto preview = Call(context,
                            {.method = "POST",
                             .path = "/v1/preview",
                             .body = boost::json::serialize(*body)},
                            exit);
  if (!preview.has_value()) return exit;
  if (context.options.json) {
    fmt::print("{}\n", boost::json::serialize(*preview));
  } else {
    fmt::print("{}", PreviewText(*preview));
  }
  return kCtlOk;
}

}  // namespace

std::string PreviewText(const value& preview) {
  std::string text = Line(
      "host", fmt::format("{} in {}{}", Get(preview, "host"),
                          Get(preview, "failure_domain"),
                          IsTrue(preview, "draining") ? ", draining" : ""));
  if (const value* const configuration = Find(preview, "configuration")) {
    text += Line("configuration",
                 fmt::format("version {}, {}", Get(*configuration, "version"),
                             Age(*configuration, "age_ms")));
  }
  const value* const route = Find(preview, "route");
  text +=
      Line("route", route == nullptr
                        ? "none matches"
                        : Get(*route, "name") +
                              (IsTrue(*route, "public") ? " (public)" : ""));
  text += Line("key", KeyText(preview));
  if (const value* const team = Find(preview, "team")) {
    text += Line("team", fmt::format("{}, priority {}", Get(*team, "name"),
                                     Get(*team, "priority")));
  }
  if (const value* const quota = Find(preview, "quota"))
    text += fmt::format("{:<15}{}", "quota", QuotaText(*quota));
  if (const value* const pool = Find(preview, "pool")) {
    text += PoolText(*pool);
    text += TargetsText(preview);
    text += ChoiceText(preview);
  }
  return text + Line("outcome", OutcomeText(preview));
}

Command PreviewCommand() {
  return {
      .name = "preview",
      .usage =
          "--host H --path P [--method M] [--header \"Name: value\"]... | "
          "--file FILE|-",
      .summary = "show where a request would go now, without sending it",
      .help =
          "Asks one host: the first of --nodes that answers. The request comes "
          "from the options\n(method GET unless given) or from a file with the "
          "head of an HTTP/1.1 request; with\n--file, a key does not appear in "
          "the list of processes. Needs the operator token.\nNothing is "
          "counted or changed on the host. What it does not know is shown as "
          "unknown.",
      .run = &Run};
}

}  // namespace camphor

#include "ctl/commands/get_command.h"

#include <fmt/core.h>

#include <array>
#include <boost/json.hpp>

#include "ctl/text/text_table.h"

namespace camphor {
namespace {

/// Table layout of one resource.
struct View {
  std::string_view resource;         ///< last part of the path
  std::vector<std::string> columns;  ///< members of each row
};

const std::array<View, 6>& Views() {
  static const std::array<View, 6> views = {{
      {"routes",
       {"name", "host", "path_prefix", "methods", "pool", "timeout_ms",
        "repeatable", "at_most_once"}},
      {"pools",
       {"name", "version", "rollout", "slots_per_target", "queue_per_target"}},
      {"hosts", {"host", "failure_domain", "status", "config_version", "mesh"}},
      {"targets",
       {"id", "pool", "version", "slots", "status", "host", "failure_domain"}},
      {"teams",
       {"name", "priority", "requests_per_second", "burst", "keys", "limited",
        "used_per_s", "refused", "demand_of_all_hosts_per_s"}},
      {"rollouts",
       {"id", "stage", "share", "complete_by", "signal", "recorded"}},
  }};
  return views;
}

/// Formats one cell; some columns are derived from other members of the row.
std::string FormatCell(const boost::json::value& row,
                       const std::string& column) {
  if (column == "share") return ShareText(MemberNumber(row, "share_ppm"));
  if (column == "signal") return MemberText(row.at("reason"), "signal");
  if (column == "rollout") {
    const boost::json::value* rollout = row.as_object().if_contains("rollout");
    if (rollout == nullptr) return "-";
    return "to " + MemberText(*rollout, "version") + " by " +
           MemberText(*rollout, "complete_by");
  }
  const std::string text = MemberText(row, column);
  return text.empty() ? "-" : text;
}

void PrintTable(const View& view, const boost::json::value& body) {
  TextTable table(view.columns);
  for (const boost::json::value& row :
       body.at(std::string(view.resource)).as_array()) {
    std::vector<std::string> cells;
    for (const std::string& column : view.columns) {
      cells.push_back(FormatCell(row, column));
    }
    table.Add(std::move(cells));
  }
  if (body.as_object().contains("version")) {
    fmt::print("version {}\n", MemberText(body, "version"));
  }
  fmt::print("{}", table.ToText());
}

void PrintStatus(const boost::json::value& body) {
  TextTable table({"status", ""});
  for (const auto& member : body.as_object()) {
    table.Add({std::string(member.key()),
               MemberText(body, std::string(member.key()))});
  }
  fmt::print("{}", table.ToText());
}

const View* FindView(const std::string& resource) {
  for (const View& view : Views()) {
    if (view.resource == resource) return &view;
  }
  return nullptr;
}

int Run(CommandContext& context) {
  if (context.arguments.size() != 1) {
    return ReportUsageError("get requires exactly one resource");
  }
  const std::string& resource = context.arguments[0];
  const View* const view = FindView(resource);
  if (view == nullptr && resource != "config" && resource != "status") {
    return ReportUsageError("unknown resource for get: " + resource);
  }
  int exit = kCtlOk;
  const auto body = Call(context, {.path = "/v1/" + resource}, exit);
  if (!body.has_value()) return exit;
  if (context.options.json) {
    fmt::print("{}\n", boost::json::serialize(*body));
  } else if (view != nullptr) {
    PrintTable(*view, *body);
  } else if (resource == "status") {
    PrintStatus(*body);
  } else {
    PrintTable(*FindView("routes"), *body);
    PrintTable(*FindView("pools"), *body);
  }
  return kCtlOk;
}

}  // namespace

void PrintRollout(const boost::json::value& rollout) {
  fmt::print("rollout {}\n", MemberText(rollout, "id"));
  fmt::print("  stage        {} since {}\n", MemberText(rollout, "stage"),
             MemberText(rollout, "stage_since"));
  fmt::print("  share        {}\n",
             ShareText(MemberNumber(rollout, "share_ppm")));
  fmt::print("  complete by  {}, then observed for {} s\n",
             MemberText(rollout, "complete_by"), MemberText(rollout, "bake_s"));
  fmt::print("  recorded     {}\n", MemberText(rollout, "recorded"));
  const boost::json::value* reason = rollout.as_object().if_contains("reason");
  if (reason == nullptr || MemberText(*reason, "sentence").empty()) return;
  fmt::print("  reason       {}\n", MemberText(*reason, "sentence"));
  fmt::print("  evidence     signal {}, route {}, {} new and {} old requests\n",
             MemberText(*reason, "signal"), MemberText(*reason, "route"),
             MemberText(*reason, "new_requests"),
             MemberText(*reason, "old_requests"));
}

Command GetCommand() {
  return {
      .name = "get",
      .usage = "routes|pools|config|hosts|targets|teams|rollouts|status",
      .summary = "show tables, hosts, targets, rollouts or status of a node",
      .help = "--json prints the unmodified response of the node.",
      .run = &Run};
}

}  // namespace camphor

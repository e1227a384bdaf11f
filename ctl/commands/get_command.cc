#include "ctl/commands/get_command.h"

#include <fmt/core.h>

#include <array>
#include <boost/json.hpp>

#include "ctl/text/text_table.h"

namespace camphor {
namespace {

/// How one resource is shown as a table.
struct View {
  std::string_view resource;         ///< last part of the path
  std::vector<std::string> columns;  ///< members of each row
};

const std::array<View, 5>& Views() {
  static const std::array<View, 5> views = {{
      {"routes",
       {"name", "host", "path_prefix", "methods", "pool", "timeout_ms",
        "repeatable", "at_most_once"}},
      {"pools",
       {"name", "version", "rollout", "slots_per_target", "queue_per_target"}},
      {"hosts", {"host", "failure_domain", "status", "config_version", "mesh"}},
      {"targets",
       {"id", "pool", "version", "slots", "status", "host", "failure_domain"}},
      {"rollouts",
       {"id", "stage", "share", "complete_by", "signal", "recorded"}},
  }};
  return views;
}

/// A cell of a row; some are derived from what the node answers.
std::string CellOf(const boost::json::value& row, const std::string& column) {
  if (column == "share") return ShareText(NumberOf(row, "share_ppm"));
  if (column == "signal") return TextOf(row.at("reason"), "signal");
  if (column == "rollout") {
    const boost::json::value* rollout = row.as_object().if_contains("rollout");
    if (rollout == nullptr) return "-";
    return "to " + TextOf(*rollout, "version") + " by " +
           TextOf(*rollout, "complete_by");
  }
  const std::string text = TextOf(row, column);
  return text.empty() ? "-" : text;
}

void PrintTable(const View& view, const boost::json::value& body) {
  TextTable table(view.columns);
  for (const boost::json::value& row :
       body.at(std::string(view.resource)).as_array()) {
    std::vector<std::string> cells;
    for (const std::string& column : view.columns) {
      cells.push_back(CellOf(row, column));
    }
    table.Add(std::move(cells));
  }
  if (body.as_object().contains("version")) {
    fmt::print("version {}\n", TextOf(body, "version"));
  }
  fmt::print("{}", table.ToText());
}

void PrintStatus(const boost::json::value& body) {
  TextTable table({"status", ""});
  for (const auto& member : body.as_object()) {
    table.Add(
        {std::string(member.key()), TextOf(body, std::string(member.key()))});
  }
  fmt::print("{}", table.ToText());
}

const View* FindView(const std::string& what) {
  for (const View& view : Views()) {
    if (view.resource == what) return &view;
  }
  return nullptr;
}

int Run(CommandContext& context) {
  if (context.arguments.size() != 1) {
    return WrongArguments("get needs what to show");
  }
  const std::string& what = context.arguments[0];
  const View* const view = FindView(what);
  if (view == nullptr && what != "config" && what != "status") {
    return WrongArguments("get does not know " + what);
  }
  int exit = kCtlOk;
  const auto body = Call(context, {.path = "/v1/" + what}, exit);
  if (!body.has_value()) return exit;
  if (context.options.json) {
    fmt::print("{}\n", boost::json::serialize(*body));
  } else if (view != nullptr) {
    PrintTable(*view, *body);
  } else if (what == "status") {
    PrintStatus(*body);
  } else {
    PrintTable(*FindView("routes"), *body);
    PrintTable(*FindView("pools"), *body);
  }
  return kCtlOk;
}

}  // namespace

void PrintRollout(const boost::json::value& rollout) {
  fmt::print("rollout {}\n", TextOf(rollout, "id"));
  fmt::print("  stage        {} since {}\n", TextOf(rollout, "stage"),
             TextOf(rollout, "stage_since"));
  fmt::print("  share        {}\n", ShareText(NumberOf(rollout, "share_ppm")));
  fmt::print("  complete by  {}, then watched {} s\n",
             TextOf(rollout, "complete_by"), TextOf(rollout, "bake_s"));
  fmt::print("  recorded     {}\n", TextOf(rollout, "recorded"));
  const boost::json::value* reason = rollout.as_object().if_contains("reason");
  if (reason == nullptr || TextOf(*reason, "sentence").empty()) return;
  fmt::print("  reason       {}\n", TextOf(*reason, "sentence"));
  fmt::print("  evidence     signal {}, route {}, {} new and {} old requests\n",
             TextOf(*reason, "signal"), TextOf(*reason, "route"),
             TextOf(*reason, "new_requests"), TextOf(*reason, "old_requests"));
}

Command GetCommand() {
  return {.name = "get",
          .usage = "routes|pools|config|hosts|targets|rollouts|status",
          .summary = "show what a node knows",
          .help = "With --json the node's answer as it is.",
          .run = &Run};
}

}  // namespace camphor

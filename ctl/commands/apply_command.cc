#include "ctl/commands/apply_command.h"

#include <fmt/core.h>

#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <random>

#include "core/config/config_codec.h"
#include "core/config/table_diff.h"
#include "ctl/commands/watch_command.h"

namespace camphor {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnknown = 504;

std::string NewOperationId() {
  std::random_device entropy;
  return fmt::format("ctl-{:08x}{:08x}", entropy(), entropy());
}

/// Reads and checks the file; prints every fault.
std::optional<ConfigSnapshot> ReadTables(const std::string& file) {
  std::ifstream input(file);
  if (!input) {
    PrintError(file + " can not be read");
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  ConfigCodec codec;
  std::optional<ConfigSnapshot> tables = codec.Decode(text, 0);
  if (tables.has_value()) return tables;
  PrintError(file + " is not a valid pair of tables:");
  for (const ConfigError& fault : codec.errors()) {
    fmt::print(stderr, "  {}\n", fault.ToString());
  }
  return std::nullopt;
}

/// The configuration that the node has in force.
std::optional<ConfigSnapshot> ReadCurrent(CommandContext& context, int& exit) {
  auto body = Call(context, {.path = "/v1/config"}, exit);
  if (!body.has_value()) return std::nullopt;
  const ConfigVersion version = NumberOf(*body, "version");
  boost::json::object tables{{"routes", body->at("routes")},
                             {"pools", body->at("pools")}};
  ConfigCodec codec;
  std::optional<ConfigSnapshot> current =
      codec.Decode(boost::json::serialize(tables), version);
  if (!current.has_value()) {
    PrintError("the node's tables are not valid: " +
               codec.last_reason().ToString());
    exit = kCtlFailed;
  }
  return current;
}

/// Prints the rows that others changed, as the node's answer lists them.
void PrintChanges(const boost::json::value& rows) {
  if (!rows.is_array()) return;
  for (const boost::json::value& row : rows.as_array()) {
    fmt::print(stderr, "  {} {} {}\n", TextOf(row, "kind"),
               TextOf(row, "table"), TextOf(row, "name"));
    const boost::json::value* fields =
        row.is_object() ? row.as_object().if_contains("fields") : nullptr;
    if (fields == nullptr || !fields->is_array()) continue;
    for (const boost::json::value& field : fields->as_array()) {
      fmt::print(stderr, "    {}: {} -> {}\n", TextOf(field, "field"),
                 TextOf(field, "before"), TextOf(field, "after"));
    }
  }
}

/// Prints what others changed since the operator began.
int ReportConflict(const CommandContext& context, ConfigVersion base,
                   const NodeResponse& response) {
  PrintError("another edit was accepted first; nothing was changed");
  if (context.options.json) fmt::print("{}\n", response.body);
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  const boost::json::value* details =
      !error && body.is_object() ? body.as_object().if_contains("error")
                                 : nullptr;
  if (details == nullptr || !details->is_object()) return kCtlConflict;
  fmt::print(stderr, "changed by others since version {}, now version {}:\n",
             base, TextOf(*details, "version"));
  const boost::json::value* rows = details->as_object().if_contains("changed");
  if (rows != nullptr) PrintChanges(*rows);
  return kCtlConflict;
}

int ReportUnknown(const std::string& file, const std::string& operation_id,
                  ConfigVersion base) {
  PrintError(fmt::format(
      "it is not known whether the edit was accepted; ask again, which does no "
      "harm, with: camphorctl apply {} --operation-id {} --base {}",
      file, operation_id, base));
  return kCtlUnknown;
}

int Put(CommandContext& context, const std::string& file,
        const ConfigSnapshot& base, const ConfigSnapshot& tables) {
  const CtlOptions& options = context.options;
  const std::string operation_id =
      options.operation_id.empty() ? NewOperationId() : options.operation_id;
  const ConfigVersion base_version = options.base.value_or(base.head.version);
  const std::optional<NodeResponse> response =
      context.client.Send({.method = "PUT",
                           .path = "/v1/config",
                           .body = ConfigCodec::Encode(tables),
                           .if_match = std::to_string(base_version),
                           .operation_id = operation_id});
  const bool unknown = !response.has_value() ? context.client.outcome_unknown()
                                             : response->status == kUnknown;
  if (unknown) return ReportUnknown(file, operation_id, base_version);
  if (!response.has_value()) return ReportFailure(context, response);
  if (response->status == kConflict) {
    return ReportConflict(context, base_version, *response);
  }
  if (response->status != kOk) return ReportFailure(context, response);

  boost::json::error_code error;
  const boost::json::value accepted = boost::json::parse(response->body, error);
  const ConfigVersion version = NumberOf(accepted, "version");
  if (options.json) {
    fmt::print("{}\n", response->body);
  } else {
    fmt::print("accepted as version {}\n", version);
  }
  return options.wait ? WatchVersion(context, version) : kCtlOk;
}

int Run(CommandContext& context) {
  if (context.arguments.size() != 1) {
    return WrongArguments("apply needs one file");
  }
  const std::string& file = context.arguments[0];
  const std::optional<ConfigSnapshot> tables = ReadTables(file);
  if (!tables.has_value()) return kCtlInvalid;
  int exit = kCtlOk;
  const std::optional<ConfigSnapshot> base = ReadCurrent(context, exit);
  if (!base.has_value()) return exit;

  const TableDiff diff = TableDiff::Between(*base, *tables);
  const bool again = !context.options.operation_id.empty();
  if (diff.rows.empty() && !again) {
    fmt::print("nothing to change: version {} has these tables\n",
               base->head.version);
    return kCtlOk;
  }
  if (context.options.json) {
    if (context.options.dry_run) fmt::print("{}\n", diff.ToJson());
  } else {
    fmt::print("changes to version {}:\n{}", base->head.version, diff.ToText());
  }
  if (context.options.dry_run) return kCtlOk;
  return Put(context, file, *base, *tables);
}

}  // namespace

Command ApplyCommand() {
  return {
      .name = "apply",
      .usage = "FILE [--dry-run] [--wait] [--operation-id ID] [--base VERSION]",
      .summary = "make the tables of FILE the configuration",
      .help =
          "FILE holds {\"routes\": [...], \"pools\": [...]}, JSON with "
          "comments.\n"
          "Prints what changes, then applies it. --dry-run only prints.\n"
          "--wait goes on until every live host serves it.\n"
          "When the answer was lost, the same command with the printed\n"
          "--operation-id and --base tells how it ended; it never counts "
          "twice.\n"
          "Exits 3 when another edit was accepted first, and shows what it "
          "changed.",
      .run = &Run};
}

}  // namespace camphor

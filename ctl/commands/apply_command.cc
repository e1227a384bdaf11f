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
constexpr unsigned kGatewayTimeout = 504;

std::string NewOperationId() {
  std::random_device entropy;
  return fmt::format("ctl-{:08x}{:08x}", entropy(), entropy());
}

/// Reads and validates the file; prints all errors.
std::optional<ConfigSnapshot> ReadTables(const std::string& file) {
  std::ifstream input(file);
  if (!input) {
    PrintError("cannot read " + file);
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  ConfigCodec codec;
  std::optional<ConfigSnapshot> tables = codec.Decode(text, 0);
  if (tables.has_value()) return tables;
  PrintError("invalid tables in " + file + ":");
  for (const ConfigError& error : codec.errors()) {
    fmt::print(stderr, "  {}\n", error.ToString());
  }
  return std::nullopt;
}

/// Reads the configuration that the node serves.
std::optional<ConfigSnapshot> ReadCurrent(CommandContext& context, int& exit) {
  auto body = Call(context, {.path = "/v1/config"}, exit);
  if (!body.has_value()) return std::nullopt;
  const ConfigVersion version = MemberNumber(*body, "version");
  boost::json::object tables{{"routes", body->at("routes")},
                             {"pools", body->at("pools")}};
  ConfigCodec codec;
  std::optional<ConfigSnapshot> current =
      codec.Decode(boost::json::serialize(tables), version);
  if (!current.has_value()) {
    PrintError("the node returned invalid tables: " +
               codec.last_reason().ToString());
    exit = kCtlFailed;
  }
  return current;
}

/// Prints the rows changed by other edits, as listed in the conflict response.
void PrintChanges(const boost::json::value& rows) {
  if (!rows.is_array()) return;
  for (const boost::json::value& row : rows.as_array()) {
    fmt::print(stderr, "  {} {} {}\n", MemberText(row, "kind"),
               MemberText(row, "table"), MemberText(row, "name"));
    const boost::json::value* fields =
        row.is_object() ? row.as_object().if_contains("fields") : nullptr;
    if (fields == nullptr || !fields->is_array()) continue;
    for (const boost::json::value& field : fields->as_array()) {
      fmt::print(stderr, "    {}: {} -> {}\n", MemberText(field, "field"),
                 MemberText(field, "before"), MemberText(field, "after"));
    }
  }
}

/// Reports a conflict and the changes accepted since version `base`.
int ReportConflict(const CommandContext& context, ConfigVersion base,
                   const NodeResponse& response) {
  PrintError("conflict: another edit was accepted first; no changes were made");
  if (context.options.json) fmt::print("{}\n", response.body);
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  const boost::json::value* details =
      !error && body.is_object() ? body.as_object().if_contains("error")
                                 : nullptr;
  if (details == nullptr || !details->is_object()) return kCtlConflict;
  fmt::print(stderr, "changes by other edits from version {} to version {}:\n",
             base, MemberText(*details, "version"));
  const boost::json::value* rows = details->as_object().if_contains("changed");
  if (rows != nullptr) PrintChanges(*rows);
  return kCtlConflict;
}

int ReportUnknown(const std::string& file, const std::string& operation_id,
                  ConfigVersion base) {
  PrintError(fmt::format(
      "the outcome of the edit is unknown; it is safe to retry it with: "
      "camphorctl apply {} --operation-id {} --base {}",
      file, operation_id, base));
  return kCtlUnknown;
}

int PutTables(CommandContext& context, const std::string& file,
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
  const bool unknown = !response.has_value()
                           ? context.client.outcome_unknown()
                           : response->status == kGatewayTimeout;
  if (unknown) return ReportUnknown(file, operation_id, base_version);
  if (!response.has_value()) return ReportFailure(context, response);
  if (response->status == kConflict) {
    return ReportConflict(context, base_version, *response);
  }
  if (response->status != kOk) return ReportFailure(context, response);

  boost::json::error_code error;
  const boost::json::value accepted = boost::json::parse(response->body, error);
  const ConfigVersion version = MemberNumber(accepted, "version");
  if (options.json) {
    fmt::print("{}\n", response->body);
  } else {
    fmt::print("accepted as version {}\n", version);
  }
  return options.wait ? WatchVersion(context, version) : kCtlOk;
}

int Run(CommandContext& context) {
  if (context.arguments.size() != 1) {
    return ReportUsageError("apply requires exactly one file");
  }
  const std::string& file = context.arguments[0];
  const std::optional<ConfigSnapshot> tables = ReadTables(file);
  if (!tables.has_value()) return kCtlInvalid;
  int exit = kCtlOk;
  const std::optional<ConfigSnapshot> base = ReadCurrent(context, exit);
  if (!base.has_value()) return exit;

  const TableDiff diff = TableDiff::Between(*base, *tables);
  const bool is_retry = !context.options.operation_id.empty();
  if (diff.rows.empty() && !is_retry) {
    fmt::print("no changes: version {} already has these tables\n",
               base->head.version);
    return kCtlOk;
  }
  if (context.options.json) {
    if (context.options.dry_run) fmt::print("{}\n", diff.ToJson());
  } else {
    fmt::print("changes to version {}:\n{}", base->head.version, diff.ToText());
  }
  if (context.options.dry_run) return kCtlOk;
  return PutTables(context, file, *base, *tables);
}

}  // namespace

Command ApplyCommand() {
  return {
      .name = "apply",
      .usage = "FILE [--dry-run] [--wait] [--operation-id ID] [--base VERSION]",
      .summary = "replace the configuration with the tables of FILE",
      .help =
          "FILE holds {\"routes\": [...], \"pools\": [...]}, JSON with "
          "comments.\n"
          "Prints the changes, then applies them. --dry-run only prints them.\n"
          "--wait waits until every live host serves the new version.\n"
          "If the response was lost, retry the same command with the printed\n"
          "--operation-id and --base to get the outcome; the edit is applied "
          "at most once.\n"
          "Exits with 3 and prints the conflicting changes if another edit was "
          "accepted first.",
      .run = &Run};
}

}  // namespace camphor

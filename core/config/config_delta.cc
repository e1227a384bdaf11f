#include "core/config/config_delta.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "core/base/json_fields.h"
#include "core/config/config_codec.h"
#include "core/config/table_rows.h"

namespace camphor {
namespace {

// Both tables are sorted by name, so a single merge pass finds all changes.
template <typename Row, typename Name>
void DiffRows(const std::vector<Row>& from, const std::vector<Row>& to,
              std::vector<Row>& changed, std::vector<Name>& removed) {
  auto old = from.begin();
  for (const Row& row : to) {
    for (; old != from.end() && old->name < row.name; ++old)
      removed.push_back(old->name);
    const bool kept = old != from.end() && old->name == row.name;
    if (!kept || *old != row) changed.push_back(row);
    if (kept) ++old;
  }
  for (; old != from.end(); ++old) removed.push_back(old->name);
}

/// Returns the rows of `from` after applying the changed and removed rows.
/// @pre `from` and `changed` are sorted by name.
template <typename Row, typename Name>
std::vector<Row> ApplyRows(const std::vector<Row>& from,
                           const std::vector<Row>& changed,
                           const std::vector<Name>& removed) {
  std::vector<Row> out;
  out.reserve(from.size() + changed.size());
  auto next = changed.begin();
  for (const Row& row : from) {
    while (next != changed.end() && next->name < row.name)
      out.push_back(*next++);
    if (next != changed.end() && next->name == row.name) {
      out.push_back(*next++);
    } else if (!std::ranges::binary_search(removed, row.name)) {
      out.push_back(row);
    }
  }
  out.insert(out.end(), next, changed.end());
  return out;
}

}  // namespace

ConfigDelta ConfigDelta::Between(const ConfigSnapshot& from,
                                 const ConfigSnapshot& to) {
  ConfigDelta delta{.base = from.head,
                    .head = to.head,
                    .limits = to.limits,
                    .evacuated_domains = to.evacuated_domains};
  DiffRows(from.routes, to.routes, delta.routes, delta.removed_routes);
  DiffRows(from.pools, to.pools, delta.pools, delta.removed_pools);
  DiffRows(from.teams.teams(), to.teams.teams(), delta.teams,
           delta.removed_teams);
  return delta;
}

std::optional<ConfigSnapshot> ConfigDelta::Apply(const ConfigSnapshot& from,
                                                 ConfigError& reason) const {
  if (from.head.digest != base.digest) {
    reason = {
        .kind = ConfigError::Kind::kBaseMismatch,
        .message = "the base of the delta does not match the current snapshot"};
    return std::nullopt;
  }
  ConfigCodec codec;
  std::optional<ConfigSnapshot> result = codec.BuildVerifiedSnapshot(
      {.routes = ApplyRows(from.routes, routes, removed_routes),
       .pools = ApplyRows(from.pools, pools, removed_pools),
       .limits = limits,
       .teams = TeamTable(ApplyRows(from.teams.teams(), teams, removed_teams)),
       .evacuated_domains = evacuated_domains},
      head);
  if (!result) reason = codec.last_reason();
  return result;
}

std::string ConfigDelta::Encode() const {
  boost::json::array route_rows;
  for (const RouteRule& rule : routes) route_rows.push_back(WriteRoute(rule));
  boost::json::array pool_rows;
  for (const PoolSpec& pool : pools) pool_rows.push_back(WritePool(pool));
  boost::json::object document{{"removed_routes", WriteNames(removed_routes)},
                               {"removed_pools", WriteNames(removed_pools)},
                               {"routes", std::move(route_rows)},
                               {"pools", std::move(pool_rows)}};
  if (limits != CallerLimits{}) document["limits"] = limits.Write();
  if (!removed_teams.empty())
    document["removed_teams"] = WriteNames(removed_teams);
  if (!teams.empty()) {
    boost::json::array team_rows;
    for (const TeamSpec& team : teams) team_rows.push_back(WriteTeam(team));
    document["teams"] = std::move(team_rows);
  }
  if (!evacuated_domains.empty())
    document["evacuated_domains"] = WriteNames(evacuated_domains);
  return boost::json::serialize(document);
}

std::optional<ConfigDelta> ConfigDelta::Decode(std::string_view text,
                                               const ConfigHead& base,
                                               const ConfigHead& head,
                                               ConfigError& reason) {
  std::string syntax;
  const std::optional<boost::json::value> document =
      ParseJsonWithComments(text, syntax);
  if (!document || !document->is_object()) {
    reason = {.kind = ConfigError::Kind::kSyntax,
              .message = document ? "the delta must be a JSON object" : syntax};
    return std::nullopt;
  }
  ConfigDelta delta{.base = base, .head = head};
  std::vector<FieldError> errors;
  JsonFields fields(document->get_object(), "", errors);
  delta.removed_routes = ReadNames<RouteName>(fields.Strings("removed_routes"));
  delta.removed_pools = ReadNames<PoolName>(fields.Strings("removed_pools"));
  fields.Objects("routes", [&](JsonFields& row) {
    delta.routes.push_back(ReadRoute(row, UnknownFields::kKeep));
  });
  fields.Objects(
      "pools", [&](JsonFields& row) { delta.pools.push_back(ReadPool(row)); });
  delta.removed_teams = ReadNames<TeamName>(fields.Strings("removed_teams"));
  fields.Objects(
      "teams", [&](JsonFields& row) { delta.teams.push_back(ReadTeam(row)); });
  delta.evacuated_domains =
      ReadNames<FailureDomain>(fields.Strings("evacuated_domains"));
  fields.Object("limits", [&](JsonFields& row) {
    delta.limits = CallerLimits::Read(row);
  });
  fields.Finish();
  if (!errors.empty()) {
    reason = {.kind = ConfigError::Kind::kField,
              .field = errors.front().field,
              .message = errors.front().message};
    return std::nullopt;
  }
  return delta;
}

}  // namespace camphor

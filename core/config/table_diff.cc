#include "core/config/table_diff.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <map>
#include <set>
#include <utility>

#include "core/config/table_rows.h"

namespace camphor {
namespace {

using Fields = std::map<std::string, std::string>;
using Table = std::map<std::string, Fields>;

Fields RowFields(const boost::json::object& row) {
  Fields fields;
  for (const auto& [key, value] : row)
    if (key != "name")
      fields.emplace(std::string(key), boost::json::serialize(value));
  return fields;
}

std::vector<FieldChange> DiffFields(const Fields& before, const Fields& after) {
  std::set<std::string> names;
  for (const auto& [name, value] : before) names.insert(name);
  for (const auto& [name, value] : after) names.insert(name);
  std::vector<FieldChange> changes;
  for (const std::string& name : names) {
    const auto old_value = before.find(name);
    const auto new_value = after.find(name);
    FieldChange change{
        .field = name,
        .before = old_value == before.end() ? "" : old_value->second,
        .after = new_value == after.end() ? "" : new_value->second};
    if (change.before != change.after) changes.push_back(std::move(change));
  }
  return changes;
}

void DiffTable(const std::string& table, const Table& before,
               const Table& after, std::vector<RowChange>& rows) {
  std::set<std::string> names;
  for (const auto& [name, fields] : before) names.insert(name);
  for (const auto& [name, fields] : after) names.insert(name);
  for (const std::string& name : names) {
    const auto old_row = before.find(name);
    const auto new_row = after.find(name);
    RowChange change{.table = table, .name = name};
    if (old_row == before.end()) change.kind = RowChange::Kind::kAdded;
    if (new_row == after.end()) change.kind = RowChange::Kind::kRemoved;
    change.fields =
        DiffFields(old_row == before.end() ? Fields{} : old_row->second,
                   new_row == after.end() ? Fields{} : new_row->second);
    if (!change.fields.empty()) rows.push_back(std::move(change));
  }
}

Table RouteTable(const ConfigSnapshot& snapshot) {
  Table table;
  for (const RouteRule& rule : snapshot.routes)
    table.emplace(rule.name.value(), RowFields(WriteRoute(rule)));
  return table;
}

Table PoolTable(const ConfigSnapshot& snapshot) {
  Table table;
  for (const PoolSpec& pool : snapshot.pools)
    table.emplace(pool.name.value(), RowFields(WritePool(pool)));
  return table;
}

Table TeamRows(const ConfigSnapshot& snapshot) {
  Table table;
  for (const TeamSpec& team : snapshot.teams.teams())
    table.emplace(team.name.value(), RowFields(WriteTeam(team)));
  return table;
}

/// One row, so that an edit of the limits alone is shown as well.
Table LimitsTable(const ConfigSnapshot& snapshot) {
  return {{"limits", RowFields(snapshot.limits.Write())}};
}

Table EvacuationTable(const ConfigSnapshot& snapshot) {
  Table table;
  for (const FailureDomain& domain : snapshot.evacuated_domains)
    table.emplace(domain.value(), Fields{{"evacuated", "true"}});
  return table;
}

const char* KindName(RowChange::Kind kind) {
  switch (kind) {
    case RowChange::Kind::kAdded:
      return "added";
    case RowChange::Kind::kRemoved:
      return "removed";
    case RowChange::Kind::kChanged:
      return "changed";
  }
  return "changed";
}

char KindSign(RowChange::Kind kind) {
  switch (kind) {
    case RowChange::Kind::kAdded:
      return '+';
    case RowChange::Kind::kRemoved:
      return '-';
    case RowChange::Kind::kChanged:
      return '~';
  }
  return '~';
}

}  // namespace

TableDiff TableDiff::Between(const ConfigSnapshot& before,
                             const ConfigSnapshot& after) {
  TableDiff diff;
  DiffTable("routes", RouteTable(before), RouteTable(after), diff.rows);
  DiffTable("pools", PoolTable(before), PoolTable(after), diff.rows);
  DiffTable("teams", TeamRows(before), TeamRows(after), diff.rows);
  DiffTable("limits", LimitsTable(before), LimitsTable(after), diff.rows);
  DiffTable("evacuated_domains", EvacuationTable(before),
            EvacuationTable(after), diff.rows);
  return diff;
}

std::string TableDiff::ToText() const {
  std::string text;
  for (const RowChange& row : rows) {
    text += fmt::format("{} {} {}\n", KindSign(row.kind), row.table, row.name);
    for (const FieldChange& change : row.fields) {
      const bool has_both_values =
          !change.before.empty() && !change.after.empty();
      text += has_both_values ? fmt::format("    {}: {} -> {}\n", change.field,
                                            change.before, change.after)
                              : fmt::format("    {}: {}{}\n", change.field,
                                            change.before, change.after);
    }
  }
  return text;
}

std::string TableDiff::ToJson() const {
  boost::json::array out;
  for (const RowChange& row : rows) {
    boost::json::array fields;
    for (const FieldChange& change : row.fields) {
      fields.push_back(boost::json::object{{"field", change.field},
                                           {"before", change.before},
                                           {"after", change.after}});
    }
    out.push_back(boost::json::object{{"table", row.table},
                                      {"name", row.name},
                                      {"kind", KindName(row.kind)},
                                      {"fields", std::move(fields)}});
  }
  return boost::json::serialize(out);
}

}  // namespace camphor

#include "node/admin/state_view.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/base/wall_time_text.h"
#include "core/config/config_codec.h"
#include "core/config/key_digest.h"
#include "core/config/rollout_key.h"
#include "core/quota/quota_message.h"
#include "node/json/record_json.h"

namespace camphor {
namespace {

/// Returns the rows of a table in a dump; empty if there is no such table.
boost::json::array Rows(const boost::json::value& dump,
                        std::string_view table) {
  const boost::json::object* const parent = dump.if_object();
  const boost::json::value* const rows =
      parent == nullptr ? nullptr : parent->if_contains(table);
  return rows == nullptr || !rows->is_array() ? boost::json::array()
                                              : rows->get_array();
}

/// Returns the row with the key, or null.
template <typename Key>
const boost::json::object* Find(
    const std::map<Key, const boost::json::object*>& rows, const Key& key) {
  const auto found = rows.find(key);
  return found == rows.end() ? nullptr : found->second;
}

}  // namespace

boost::json::object ConfigView(const ConfigSnapshotPtr& snapshot) {
  boost::json::object view{{"version", 0},
                           {"digest", ""},
                           {"routes", boost::json::array()},
                           {"pools", boost::json::array()}};
  if (snapshot == nullptr) return view;
  const boost::json::value tables =
      boost::json::parse(ConfigCodec::Encode(*snapshot));
  for (const auto& member : tables.as_object()) {
    view[member.key()] = member.value();
  }
  view["version"] = snapshot->head.version;
  view["digest"] = snapshot->head.digest.hex();
  return view;
}

boost::json::array HostsView(const Replicator& replicator) {
  boost::json::array view;
  for (const auto& [id, host] : replicator.hosts())
    view.push_back(ToJson(host));
  return view;
}

boost::json::array TargetsView(const Replicator& replicator) {
  boost::json::array view;
  for (const auto& [id, host] : replicator.hosts()) {
    for (const TargetInfo& target : host.targets) {
      boost::json::object row = ToJson(target);
      row["host"] = host.host.value();
      row["failure_domain"] = host.domain.value();
      row["host_status"] = boost::json::string(HostStatusName(host.status));
      view.push_back(std::move(row));
    }
  }
  return view;
}

boost::json::array TeamsView(const ConfigSnapshotPtr& snapshot,
                             const boost::json::value& quotas) {
  boost::json::array view;
  if (snapshot == nullptr) return view;
  const boost::json::array used = Rows(quotas, "teams");
  std::map<std::string, const boost::json::object*> used_by_name;
  for (const boost::json::value& row : used)
    used_by_name[row.at("team").as_string().c_str()] = &row.as_object();
  const boost::json::array owned = Rows(quotas, "allocated");
  std::map<TeamHash, const boost::json::object*> owned_by_hash;
  for (const boost::json::value& row : owned)
    owned_by_hash[row.at("team_hash").to_number<TeamHash>()] = &row.as_object();
  for (const TeamSpec& team : snapshot->teams.teams()) {
    boost::json::array keys;
    for (const Digest& digest : team.key_digests)
      keys.emplace_back(ShownKeyDigest(digest));
    boost::json::object row{{"name", team.name.value()},
                            {"priority", team.priority},
                            {"requests_per_second", team.requests_per_second},
                            {"burst", team.burst},
                            {"keys", std::move(keys)}};
    const boost::json::object* const here =
        Find(used_by_name, team.name.value());
    for (const char* const member :
         {"limited", "rate_of_host", "used_per_s", "admitted", "refused"})
      if (here != nullptr) row[member] = here->at(member);
    const boost::json::object* const allocated =
        Find(owned_by_hash, HashTeam(team.name));
    if (allocated != nullptr)
      row["demand_of_all_hosts_per_s"] = allocated->at("demand_per_s");
    view.push_back(std::move(row));
  }
  return view;
}

boost::json::array RolloutsView(const Replicator& replicator) {
  boost::json::array view;
  const ConfigSnapshotPtr& snapshot = replicator.snapshot();
  if (snapshot == nullptr) return view;
  for (const PoolSpec& pool : snapshot->pools) {
    if (!pool.rollout.has_value()) continue;
    const RolloutId id = RolloutKey::FromPool(pool).id();
    const auto found = replicator.rollouts().find(id);
    boost::json::object row =
        ToJson(found == replicator.rollouts().end() ? RolloutRecord{.id = id}
                                                    : found->second);
    row["pool"] = pool.name.value();
    row["from"] = pool.version.value();
    row["to"] = pool.rollout->version.value();
    row["attempt"] = pool.rollout->attempt;
    row["complete_by"] = FormatWallTime(pool.rollout->complete_by);
    row["allowed_ms"] = pool.rollout->allowed.count();
    row["bake_s"] = pool.rollout->bake.count();
    view.push_back(std::move(row));
  }
  return view;
}

boost::json::object HostCountsView(const Replicator& replicator) {
  std::map<HostStatus, std::uint64_t> counts;
  std::uint64_t serving_newest = 0;
  const ConfigVersion newest = replicator.snapshot() == nullptr
                                   ? 0
                                   : replicator.snapshot()->head.version;
  for (const auto& [id, host] : replicator.hosts()) {
    ++counts[host.status];
    const bool live = host.status == HostStatus::kAlive ||
                      host.status == HostStatus::kSuspect;
    if (live && host.config_version >= newest) ++serving_newest;
  }
  boost::json::object view;
  for (const HostStatus status : {HostStatus::kAlive, HostStatus::kSuspect,
                                  HostStatus::kLeaving, HostStatus::kDead}) {
    view[HostStatusName(status)] = counts[status];
  }
  view["serving_newest"] = serving_newest;
  return view;
}

boost::json::value ParseJsonOrText(const std::string& text) {
  boost::json::error_code error;
  boost::json::value parsed = boost::json::parse(text, error);
  if (error) return boost::json::string(text);
  return parsed;
}

}  // namespace camphor

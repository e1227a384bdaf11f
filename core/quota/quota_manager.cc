#include "core/quota/quota_manager.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <iterator>
#include <set>
#include <utility>

#include "core/rollout/rendezvous.h"

namespace camphor {
namespace {

constexpr std::size_t kHostsPerShard = 64;

// An allocator that has not answered for two report periods is silent.
constexpr Milliseconds kAnswerTimeout{1000};

constexpr std::chrono::minutes kLostRetention{10};

}  // namespace

QuotaManager::QuotaManager(Options options)
    : options_(std::move(options)),
      allocator_(
          {.send = [this](const Endpoint& to, const QuotaGrants& grants) {
            if (to != options_.mesh) options_.send_grants(to, grants);
          }}) {}

void QuotaManager::SetTeams(const TeamTable& teams, MonoTime now) {
  teams_.clear();
  for (const TeamSpec& team : teams.teams())
    if (team.requests_per_second > 0) teams_.push_back(HashTeam(team.name));
  options_.with_limiter(
      [&](QuotaLimiter& limiter) { limiter.SetTeams(teams); });
  allocator_.SetTeams(teams);
  Reassign(now);
}

void QuotaManager::SetHosts(const std::map<HostId, HostRecord>& hosts,
                            MonoTime now) {
  std::map<HostId, HostStatus> statuses;
  alive_.clear();
  for (const auto& [id, record] : hosts) {
    statuses[id] = record.status;
    const auto previous = statuses_.find(id);
    const bool was_member = previous != statuses_.end() &&
                            (previous->second == HostStatus::kAlive ||
                             previous->second == HostStatus::kSuspect);
    if (record.status == HostStatus::kDead && was_member)
      lost_[id] = now;
    else if (record.status != HostStatus::kDead)
      lost_.erase(id);
    if (record.status == HostStatus::kAlive) alive_[id] = record.mesh;
  }
  statuses_ = std::move(statuses);
  Reassign(now);
}

std::size_t QuotaManager::ShardOf(TeamHash team) const {
  return shards_.empty() ? 0 : team % shards_.size();
}

void QuotaManager::Reassign(MonoTime now) {
  std::erase_if(lost_, [&](const auto& entry) {
    return now - entry.second > kLostRetention;
  });
  std::size_t suspects = 0;
  for (const auto& [id, status] : statuses_)
    if (status == HostStatus::kSuspect) ++suspects;
  const std::size_t known =
      std::max<std::size_t>(1, alive_.size() + suspects + lost_.size());
  std::vector<Endpoint> endpoints;
  for (const auto& [id, endpoint] : alive_) endpoints.push_back(endpoint);
  allocator_.SetHosts(std::move(endpoints), known);
  options_.with_limiter(
      [&](QuotaLimiter& limiter) { limiter.SetHosts(known); });

  shards_.resize((alive_.size() + kHostsPerShard - 1) / kHostsPerShard);
  std::set<TeamHash> owned;
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    const std::string key = fmt::format("quota/{}", index);
    const auto first =
        std::ranges::max_element(alive_, {}, [&](const auto& host) {
          return std::pair(RendezvousWeight(key, host.first.value()),
                           host.first);
        });
    Shard& shard = shards_[index];
    if (shard.allocator == first->first && shard.endpoint == first->second)
      continue;
    SetSilent(shard, false);
    shard = {.allocator = first->first, .endpoint = first->second};
  }
  for (const TeamHash team : teams_)
    if (!shards_.empty() && shards_[ShardOf(team)].allocator == options_.host)
      owned.insert(team);
  allocator_.SetOwned(owned, now);
}

void QuotaManager::OnReport(const Endpoint& from, const QuotaReport& report,
                            MonoTime now) {
  const QuotaGrants reply = allocator_.OnReport(from, report, now);
  if (reply.teams.empty()) return;
  if (from == options_.mesh)
    Apply(from, reply, now);
  else
    options_.send_grants(from, reply);
}

void QuotaManager::OnGrants(const Endpoint& from, const QuotaGrants& grants,
                            MonoTime now) {
  Apply(from, grants, now);
}

void QuotaManager::Apply(const Endpoint& from, const QuotaGrants& grants,
                         MonoTime now) {
  QuotaGrants valid = grants;
  std::erase_if(valid.teams, [&](const TeamGrant& grant) {
    return shards_.empty() || shards_[ShardOf(grant.team)].endpoint != from;
  });
  if (valid.teams.empty()) return;
  std::vector<TeamUsage> acknowledged;
  if (grants.sequence != 0) {
    for (Shard& shard : shards_) {
      if (shard.endpoint != from || shard.sequence != grants.sequence) continue;
      acknowledged = std::exchange(shard.unanswered, {});
      shard.waiting_since = MonoTime::max();
      SetSilent(shard, false);
    }
  }
  options_.with_limiter([&](QuotaLimiter& limiter) {
    limiter.OnGrants(valid, acknowledged, now);
  });
}

void QuotaManager::SetSilent(Shard& shard, bool silent) {
  if (shard.silent == silent) return;
  shard.silent = silent;
  std::vector<TeamHash> teams;
  for (const TeamHash team : teams_)
    if (&shards_[ShardOf(team)] == &shard) teams.push_back(team);
  options_.with_limiter([&](QuotaLimiter& limiter) {
    limiter.OnAllocatorChanged(teams, silent);
  });
}

void QuotaManager::Tick(MonoTime now) {
  if (teams_.empty() || shards_.empty()) return;
  std::vector<TeamHash> reportable;
  std::vector<TeamHash> urgent;
  options_.with_limiter([&](QuotaLimiter& limiter) {
    reportable = limiter.ReportableTeams();
    urgent = limiter.UrgentTeams(now);
  });
  std::map<std::size_t, std::vector<TeamHash>> by_shard;
  for (const TeamHash team : reportable)
    by_shard[ShardOf(team)].push_back(team);
  std::set<std::size_t> urgent_shards;
  for (const TeamHash team : urgent) urgent_shards.insert(ShardOf(team));
  for (const auto& [index, teams] : by_shard) {
    Shard& shard = shards_[index];
    const Milliseconds period = urgent_shards.contains(index) && !shard.silent
                                    ? kQuotaUrgentPeriod
                                    : kQuotaReportPeriod;
    if (shard.reported == MonoTime::min() || now - shard.reported >= period)
      ReportShard(shard, teams, now);
  }
  allocator_.Tick(now);
  options_.with_limiter([&](QuotaLimiter& limiter) { limiter.Expire(now); });
  LogTransitions(now);
}

void QuotaManager::ReportShard(Shard& shard, const std::vector<TeamHash>& teams,
                               MonoTime now) {
  QuotaReport report{.incarnation = options_.incarnation};
  options_.with_limiter([&](QuotaLimiter& limiter) {
    report.teams = limiter.TakeUsage(teams, now);
  });
  if (shard.waiting_since == MonoTime::max()) {
    shard.waiting_since = now;
  } else if (now - shard.waiting_since > kAnswerTimeout) {
    ++unanswered_;
    SetSilent(shard, true);
  }
  shard.reported = now;
  shard.sequence = ++last_sequence_;
  report.sequence = shard.sequence;
  shard.unanswered = report.teams;
  ++reports_;
  if (shard.allocator == options_.host)
    OnReport(options_.mesh, report, now);
  else
    options_.send_report(shard.endpoint, report);
}

void QuotaManager::LogTransitions(MonoTime now) {
  if (!options_.limited_changed) return;
  std::vector<QuotaLimiter::TeamState> teams;
  options_.with_limiter(
      [&](QuotaLimiter& limiter) { teams = limiter.Teams(now); });
  for (const QuotaLimiter::TeamState& team : teams) {
    bool& logged = limited_[team.team];
    if (logged == team.limited) continue;
    if (!log_lines_.Take(1, now)) return;
    logged = team.limited;
    options_.limited_changed(team.team, team.limited, team.rate);
  }
}

HostId QuotaManager::AllocatorOf(TeamHash team) const {
  return shards_.empty() ? HostId() : shards_[ShardOf(team)].allocator;
}

std::optional<QuotaAllocator::TeamState> QuotaManager::AllocatedState(
    TeamHash team) const {
  for (const QuotaAllocator::TeamState& state : allocator_.Teams()) {
    if (state.team == team) return state;
  }
  return std::nullopt;
}

std::string QuotaManager::DumpJson(MonoTime now) const {
  boost::json::array teams;
  std::uint64_t refused = 0;
  options_.with_limiter([&](QuotaLimiter& limiter) {
    refused = limiter.refused();
    for (const QuotaLimiter::TeamState& team : limiter.Teams(now)) {
      teams.push_back(boost::json::object{
          {"team", team.team.value()},
          {"quota_per_s", team.quota.rate},
          {"burst", team.quota.burst},
          {"limited", team.limited},
          {"leased", team.leased},
          {"rate_of_host", team.rate},
          {"used_per_s", team.used_per_s},
          {"admitted", team.admitted},
          {"refused", team.refused},
          {"allocator", AllocatorOf(HashTeam(team.team)).value()}});
    }
  });
  boost::json::array allocated;
  for (const QuotaAllocator::TeamState& team : allocator_.Teams()) {
    allocated.push_back(boost::json::object{{"team_hash", team.team},
                                            {"limited", team.limited},
                                            {"level", team.level},
                                            {"demand_per_s", team.demand},
                                            {"hosts", team.hosts}});
  }
  boost::json::array shards;
  for (const Shard& shard : shards_) {
    shards.push_back(boost::json::object{{"allocator", shard.allocator.value()},
                                         {"silent", shard.silent}});
  }
  return boost::json::serialize(
      boost::json::object{{"teams_with_rate", teams_.size()},
                          {"refused", refused},
                          {"reports", reports_},
                          {"lost_hosts", lost_.size()},
                          {"shards", std::move(shards)},
                          {"teams", std::move(teams)},
                          {"allocated", std::move(allocated)}});
}

std::string QuotaManager::MetricsText(MonoTime now) const {
  if (teams_.empty()) return "";
  std::uint64_t refused = 0;
  std::size_t limited = 0;
  double used = 0;
  options_.with_limiter([&](QuotaLimiter& limiter) {
    refused = limiter.refused();
    for (const QuotaLimiter::TeamState& team : limiter.Teams(now)) {
      if (team.limited) ++limited;
      // Use of the host against the quota over all hosts.
      used = std::max(used, team.used_per_s / team.quota.rate);
    }
  });
  const std::vector<QuotaAllocator::TeamState> allocated = allocator_.Teams();
  double debt = 0;
  for (const QuotaAllocator::TeamState& team : allocated)
    debt = std::max(debt, -team.level);
  std::size_t silent = 0;
  for (const Shard& shard : shards_)
    if (shard.silent) ++silent;
  std::string text;
  const auto add = [&](const char* name, const char* type, double value) {
    fmt::format_to(std::back_inserter(text), "# TYPE {0} {1}\n{0} {2}\n", name,
                   type, value);
  };
  add("camphor_quota_teams", "gauge", static_cast<double>(teams_.size()));
  add("camphor_quota_teams_limited", "gauge", static_cast<double>(limited));
  add("camphor_quota_largest_use", "gauge", used);
  add("camphor_quota_refused_total", "counter", static_cast<double>(refused));
  add("camphor_quota_reports_total", "counter", static_cast<double>(reports_));
  add("camphor_quota_reports_unanswered_total", "counter",
      static_cast<double>(unanswered_));
  add("camphor_quota_allocators_silent", "gauge", static_cast<double>(silent));
  add("camphor_quota_allocated_teams", "gauge",
      static_cast<double>(allocated.size()));
  add("camphor_quota_largest_debt", "gauge", debt);
  return text;
}

}  // namespace camphor

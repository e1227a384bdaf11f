#include "core/quota/quota_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphor {
namespace {

using DoubleSeconds = std::chrono::duration<double>;

// A host that stopped reporting without a last report of zero requests may be
// cut off and go on with its last share. Its share is reserved until membership
// has declared the host lost, which takes 12 s.
constexpr Seconds kReserveTime{15};

// A host with demand reports more often than this.
constexpr DoubleSeconds kSilentAfter{1};

// Largest debt, in overages. A larger one is already outside of the window
// before it is repaid.
constexpr double kLargestDebt = 3;

// State of a team is kept this long after another host has become its
// allocator, because a suspicion is often refuted.
constexpr Seconds kReleasedRetention{10};

// A team without use is forgotten once its bucket is certainly full.
constexpr Seconds kIdleRetention{15};

// A new allocator grants the hosts what they already have until all of them
// have reported.
constexpr Milliseconds kLearningTime{1000};

// Demand counted for a shorter time is too noisy.
constexpr DoubleSeconds kShortestDemandPeriod{0.25};

constexpr Milliseconds kMinLimitedTime{1000};

// A limit does not end before the demand has been within the rate for this
// long: the window still holds the use at the steady rate.
constexpr Milliseconds kMinTimeWithinRate{2500};
constexpr Milliseconds kNotifyPeriod{200};
constexpr Milliseconds kNotifyAgain{2000};

// Weight of the newest report in the demand of a host. A host with few requests
// a second sees none in many periods; its part must not follow that noise. A
// rise above this multiple and this rate is not noise.
constexpr double kDemandWeight = 0.4;
constexpr double kDemandRise = 2;
constexpr double kDemandRisePerSecond = 4;

// What hosts whose demand together is within the steady rate may admit beyond
// their rates, as a part of them. The noise of few requests per host would
// otherwise be refused.
constexpr double kSteadyOvercommit = 1;

// Part of a limited rate that is divided evenly, for hosts without demand.
constexpr double kEvenPart = 0.1;

// The limit of the window allows this excess in the long run; it makes up for
// hosts that are dead rather than cut off.
constexpr double kLostHostsAllowance = 1.04;

// A host may go on with this multiple of its demand when its lease expires, as
// long as the sum is within the team's rate.
constexpr double kSpareShare = 1.3;

// Time constant of the team's demand.
constexpr DoubleSeconds kDemandTime{1};

// The demand of a team may exceed its rate by this much, which may be noise,
// when its limit ends.
constexpr double kDemandNoise = 1.1;

double Ceiling(const TeamQuota& quota) {
  return quota.burst + 0.15 * quota.Overage();
}

// Below this level the team is limited; what is left until -Overage() is for
// requests that are admitted before the hosts know. Below 0 for rates up to 10
// per second, so that the empty bucket of a new allocator limits no team whose
// hosts see only a few requests each.
double LimitLevel(const TeamQuota& quota) {
  return std::min(0.4 * quota.burst + 0.2 * quota.rate - 6,
                  0.5 * Ceiling(quota));
}

// Largest level of the bucket with the steady rate.
double SteadyCeiling(const TeamQuota& quota) { return 0.1 * quota.Overage(); }

// Level that a limited team is kept at.
double TargetLevel(const TeamQuota& quota) { return -0.1 * quota.Overage(); }

}  // namespace

void QuotaAllocator::SetTeams(const TeamTable& teams) {
  std::map<TeamHash, Team> updated;
  for (const TeamSpec& spec : teams.teams()) {
    if (spec.requests_per_second <= 0) continue;
    const TeamHash hash = HashTeam(spec.name);
    const auto [entry, added] = updated.try_emplace(hash);
    if (!added) continue;
    const auto known = teams_.find(hash);
    if (known != teams_.end()) entry->second = std::move(known->second);
    entry->second.quota = {.rate = spec.requests_per_second,
                           .burst = std::max(0.0, spec.burst)};
    Team& team = entry->second;
    team.level = std::min(team.level, Ceiling(team.quota));
  }
  teams_ = std::move(updated);
}

void QuotaAllocator::SetHosts(std::vector<Endpoint> hosts, std::size_t known) {
  hosts_ = std::move(hosts);
  alive_ = std::max<double>(1, static_cast<double>(hosts_.size()));
  const double all = std::max(alive_, static_cast<double>(known));
  part_ = std::min(1.0, kLostHostsAllowance * alive_ / all);
}

void QuotaAllocator::SetOwned(const std::set<TeamHash>& teams, MonoTime now) {
  for (auto& [hash, team] : teams_) {
    const bool owned = teams.contains(hash);
    if (owned == team.owned) continue;
    team.owned = owned;
    if (!owned) {
      team.released = now;
      continue;
    }
    const bool kept = team.used && now - team.released < kReleasedRetention;
    if (kept) continue;
    team = Team{.quota = team.quota, .owned = true, .owned_since = now};
  }
}

QuotaGrants QuotaAllocator::OnReport(const Endpoint& from,
                                     const QuotaReport& report, MonoTime now) {
  QuotaGrants reply{
      .sequence = report.sequence,
      .lease_ms = static_cast<std::uint32_t>(kQuotaLease.count())};
  for (const TeamUsage& usage : report.teams) {
    const auto found = teams_.find(usage.team);
    if (found == teams_.end() || !found->second.owned) continue;
    Team& team = found->second;
    Count(team, from, report.incarnation, usage, now);
    UpdateLimited(team, now);
    if (IsLearning(team, now)) {
      const double rate =
          std::max(1.25 * usage.share, team.quota.rate * part_ / alive_);
      reply.teams.push_back(
          {.team = usage.team,
           .limited = true,
           .rate = static_cast<float>(std::min(rate, team.quota.rate))});
    } else {
      reply.teams.push_back(MakeGrant(
          usage.team, team, CurrentDemand(team.hosts[from], now), now));
    }
  }
  // A notification that waits for the next tick would admit more in between.
  Notify(now);
  return reply;
}

void QuotaAllocator::Count(Team& team, const Endpoint& from,
                           std::uint64_t incarnation, const TeamUsage& usage,
                           MonoTime now) {
  // The bucket of a team that was not in use during the last window is full. A
  // new allocator does not know the use before: of what a host has admitted
  // since its process started, all may be recent, so that the first reports
  // empty the bucket. A mesh that has just started has admitted little, and its
  // teams are not limited.
  const bool known_idle = now - team.owned_since > 2 * kQuotaWindow;
  if (!team.used) {
    team.used = true;
    team.first_use = now;
    team.refilled = now;
    team.level = Ceiling(team.quota) * part_;
    team.steady = 0;
    team.demand = 0;
    team.reserved = 0;
    team.arrivals = 0;
    team.limited = false;
  }
  Refill(team, now);
  const auto [entry, added] = team.hosts.try_emplace(from);
  HostUse& host = entry->second;
  std::uint64_t before = host.admitted;
  if (added || host.incarnation != incarnation)
    before = known_idle ? usage.acknowledged : usage.admitted;
  if (added && !known_idle) {
    team.level = std::max(std::min(team.level, 0.0),
                          team.level - static_cast<double>(usage.admitted));
  }
  // What a host admitted while it was cut off was reserved for it.
  const DoubleSeconds silence =
      added ? MonoTime::duration{0} : now - host.reported;
  const double counted = silence > kSilentAfter ? kSilentAfter / silence : 1;
  if (usage.admitted > before) {
    const double admitted =
        counted * static_cast<double>(usage.admitted - before);
    team.level -= admitted;
    team.steady -= admitted;
  }
  const double lowest = -kLargestDebt * team.quota.Overage() * part_;
  team.level = std::max(team.level, lowest);
  team.steady = std::max(team.steady, lowest);
  const DoubleSeconds period = std::max<DoubleSeconds>(
      Milliseconds(usage.period_ms), kShortestDemandPeriod);
  const double demand = usage.demand / period.count();
  // An idle host has not reported its decline.
  const double known = CurrentDemand(host, now);
  const bool rises = demand > kDemandRise * known + kDemandRisePerSecond;
  host.demand = rises ? demand : known + kDemandWeight * (demand - known);
  host.idle = usage.demand == 0;
  team.arrivals += usage.demand / kDemandTime.count();
  host.incarnation = incarnation;
  host.admitted = usage.admitted;
  host.reported = now;
  // The sums over all hosts are taken by Tick() only, so that the cost of a
  // report does not grow with their number.
  team.demand = std::max(0.0, team.demand + host.demand - known);
  team.newest = now;
}

void QuotaAllocator::SumHosts(Team& team, MonoTime now) {
  team.demand = 0;
  team.reserved = 0;
  for (const auto& [endpoint, use] : team.hosts) {
    team.demand += CurrentDemand(use, now);
    if (!use.idle && now - use.reported > kSilentAfter)
      team.reserved += use.demand;
  }
}

double QuotaAllocator::CurrentDemand(const HostUse& use, MonoTime now) {
  // A host that is idle now sends no further report.
  if (!use.idle) return use.demand;
  return use.demand * std::exp(-(now - use.reported) / kDemandTime);
}

void QuotaAllocator::Refill(Team& team, MonoTime now) const {
  if (now <= team.refilled) return;
  const DoubleSeconds elapsed = now - team.refilled;
  team.refilled = now;
  const double reporting =
      team.reserved > 0 ? std::max(0.0, 1 - team.reserved / team.demand) : 1;
  team.arrivals *= std::exp(-elapsed / kDemandTime);
  team.level = std::min(
      Ceiling(team.quota) * part_,
      team.level + elapsed.count() * team.quota.rate * part_ * reporting);
  team.steady =
      std::min(SteadyCeiling(team.quota) * part_,
               team.steady + elapsed.count() * team.quota.SteadyRate() * part_ *
                                 reporting);
  // What is admitted at the steady rate is no debt of the bucket with the rate.
  if (IsSteady(team, now))
    team.level = std::max(team.level, TargetLevel(team.quota) * part_);
}

void QuotaAllocator::DropSilentHosts(Team& team, MonoTime now) const {
  std::erase_if(team.hosts, [&](const auto& entry) {
    return now - entry.second.reported > kReserveTime;
  });
}

void QuotaAllocator::UpdateLimited(Team& team, MonoTime now) const {
  const TeamQuota& quota = team.quota;
  const double rate = quota.rate * part_;
  if (team.arrivals > rate) team.above_rate = now;
  if (!team.limited) {
    if (team.level >= LimitLevel(quota) * part_) return;
    team.limited_since = now;
  } else {
    const double enough = 0.8 * LimitLevel(quota) + 0.2 * Ceiling(quota);
    if (team.level < enough * part_ || team.arrivals > kDemandNoise * rate ||
        now - team.limited_since < kMinLimitedTime ||
        now - team.above_rate < kMinTimeWithinRate)
      return;
  }
  team.limited = !team.limited;
  team.notify = true;
}

bool QuotaAllocator::IsLearning(const Team& team, MonoTime now) {
  return team.limited && team.first_use - team.owned_since < 2 * kQuotaWindow &&
         now - team.first_use < kLearningTime;
}

bool QuotaAllocator::IsSteady(const Team& team, MonoTime now) {
  return team.limited && now - team.limited_since >= kQuotaWindow;
}

double QuotaAllocator::LimitedRate(const Team& team, MonoTime now) const {
  const TeamQuota& quota = team.quota;
  const double target = TargetLevel(quota) * part_;
  const double by_rate = quota.rate * part_ + team.level - target;
  if (!IsSteady(team, now)) return std::max(0.0, by_rate);
  return std::max(0.0, quota.SteadyRate() * part_ + team.steady - target);
}

TeamGrant QuotaAllocator::MakeGrant(TeamHash hash, const Team& team,
                                    double demand, MonoTime now) const {
  if (!team.limited) {
    const double rate = team.quota.rate * part_;
    // The sum of these rates is at most the team's rate.
    const double share =
        demand * std::min(kSpareShare, rate / std::max(team.demand, 1e-9));
    const double credit = std::max(2.0, 0.5 * team.level);
    return {.team = hash,
            .limited = false,
            .rate = static_cast<float>(share),
            .credit = static_cast<float>(credit)};
  }
  const double part = team.demand > 0 ? demand / team.demand : 1 / alive_;
  const double granted =
      LimitedRate(team, now) * ((1 - kEvenPart) * part + kEvenPart / alive_);
  const bool within =
      IsSteady(team, now) && team.arrivals <= team.quota.SteadyRate() * part_;
  const double extra = within ? kSteadyOvercommit * granted : 0;
  return {.team = hash,
          .limited = true,
          .rate = static_cast<float>(granted),
          .credit = static_cast<float>(extra)};
}

void QuotaAllocator::Tick(MonoTime now) {
  for (auto& [hash, team] : teams_) {
    if (!team.owned || !team.used) continue;
    DropSilentHosts(team, now);
    SumHosts(team, now);
    Refill(team, now);
    UpdateLimited(team, now);
    if (now - team.newest <= kIdleRetention || team.limited) continue;
    team.used = false;
    team.hosts.clear();
  }
  Notify(now);
}

void QuotaAllocator::Notify(MonoTime now) {
  const auto is_due = [now](const Team& team) {
    const auto silence = now - team.notified;
    return team.owned && team.used &&
           ((team.notify && silence >= kNotifyPeriod) ||
            (team.limited && silence >= kNotifyAgain &&
             !IsLearning(team, now)));
  };
  // A message to every host costs more than a few more teams in it.
  const auto is_due_soon = [now](const Team& team) {
    return team.owned && team.used && team.limited &&
           now - team.notified >= kNotifyAgain / 2 && !IsLearning(team, now);
  };
  const bool any_due = std::ranges::any_of(
      teams_, [&](const auto& entry) { return is_due(entry.second); });
  if (!any_due) return;
  std::vector<std::pair<TeamHash, const Team*>> changed;
  for (auto& [hash, team] : teams_) {
    if (!is_due(team) && !is_due_soon(team)) continue;
    team.notify = false;
    team.notified = now;
    changed.emplace_back(hash, &team);
  }
  for (const Endpoint& host : hosts_) {
    QuotaGrants grants{
        .lease_ms = static_cast<std::uint32_t>(kQuotaNoticeLease.count())};
    for (const auto& [hash, team] : changed) {
      const auto use = team->hosts.find(host);
      const double demand =
          use == team->hosts.end() ? 0 : CurrentDemand(use->second, now);
      grants.teams.push_back(MakeGrant(hash, *team, demand, now));
    }
    options_.send(host, grants);
  }
}

std::vector<QuotaAllocator::TeamState> QuotaAllocator::Teams() const {
  std::vector<TeamState> states;
  for (const auto& [hash, team] : teams_) {
    if (!team.owned || !team.used) continue;
    states.push_back({.team = hash,
                      .limited = team.limited,
                      .level = team.level,
                      .demand = team.arrivals,
                      .hosts = team.hosts.size()});
  }
  return states;
}

}  // namespace camphor

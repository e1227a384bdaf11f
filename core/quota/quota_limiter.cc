#include "core/quota/quota_limiter.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "core/rollout/rendezvous.h"

namespace camphor {
namespace {

using DoubleSeconds = std::chrono::duration<double>;

// How long a host waits for the first reply about a team before it falls back
// to its share: several times the delay of a report and its reply.
constexpr Milliseconds kFirstReplyTimeout{400};

// A limited team may save up this much of its rate on a host. Requests at a low
// rate arrive in bursts; with a burst size of one, a third of the rate would
// not be used.
constexpr double kSavedSeconds = 0.5;
constexpr double kMinBurstSeconds = 2;
constexpr double kMinBurst = 3;

// A rise of a team's use above this multiple of what the last period's use
// makes likely until now, by more than this many requests, is reported early.
// Less is noise.
constexpr double kRise = 1.5;
constexpr double kRiseRequests = 3;

// A host that has used this part of its credit reports early. All hosts with
// demand have credit at once; what they use in half a second without a report
// exceeded the limit by up to 9% when a team rose to five times its rate.
constexpr double kCreditPart = 0.125;

// How long an idle host that has lost contact keeps a limit.
constexpr Seconds kLimitHold{15};

// Weight of the newest grant in the share that a host keeps without a lease.
constexpr double kShareWeight = 0.3;

// A rate that starts to apply comes with this much of it at once.
constexpr double kFirstSeconds = 0.1;

constexpr Milliseconds kMinRetryAfter{20};
constexpr Milliseconds kMaxRetryAfter =
    std::chrono::duration_cast<Milliseconds>(kQuotaWindow);

double SavedRequests(double rate) {
  return std::max({1.0, std::min(kMinBurst, rate * kMinBurstSeconds),
                   rate * kSavedSeconds});
}

}  // namespace

void QuotaLimiter::SetTeams(const TeamTable& teams) {
  std::map<TeamHash, Team> updated;
  for (const TeamSpec& spec : teams.teams()) {
    if (spec.requests_per_second <= 0) continue;
    const TeamHash hash = HashTeam(spec.name);
    const auto [entry, added] = updated.try_emplace(hash);
    if (!added) continue;
    Team& team = entry->second;
    const auto known = teams_.find(hash);
    if (known != teams_.end()) team = std::move(known->second);
    const TeamQuota quota{.rate = spec.requests_per_second,
                          .burst = std::max(0.0, spec.burst)};
    // A lowered limit also lowers what was granted for the earlier one.
    if (quota.rate < team.quota.rate) {
      team.share *= quota.rate / team.quota.rate;
      team.rate *= quota.rate / team.quota.rate;
      team.tokens = std::min(team.tokens, quota.FirstCredit());
    }
    team.name = spec.name;
    team.quota = quota;
  }
  teams_ = std::move(updated);
}

std::optional<Milliseconds> QuotaLimiter::Admit(const TeamName& name,
                                                MonoTime now) {
  if (teams_.empty()) return std::nullopt;
  const auto found = teams_.find(HashTeam(name));
  if (found == teams_.end()) return std::nullopt;
  const std::optional<Milliseconds> wait = AdmitOne(found->second, now);
  if (wait) ++refused_;
  return wait;
}

std::optional<QuotaLimiter::AdmitPreview> QuotaLimiter::PreviewAdmit(
    const TeamName& name, MonoTime now) const {
  const auto found = teams_.find(HashTeam(name));
  if (found == teams_.end()) return std::nullopt;
  Team team = found->second;
  const bool granted =
      team.seen && !IsForgotten(team, now) && now <= team.lease_ends;
  AdmitPreview preview;
  if (granted) {
    preview.lease_left =
        std::chrono::duration_cast<Milliseconds>(team.lease_ends - now);
  }
  preview.retry_after = AdmitOne(team, now);
  preview.remaining = team.tokens + (preview.retry_after ? 0 : 1);
  preview.limited = team.limited;
  preview.rate = granted ? team.rate : FallbackRate(team);
  return preview;
}

std::optional<Milliseconds> QuotaLimiter::AdmitOne(Team& team,
                                                   MonoTime now) const {
  if (!team.seen || IsForgotten(team, now)) Start(team, now);
  if (team.demand == 0 && !team.reported) team.period_start = now;
  Refill(team, now);
  ++team.demand;
  if (team.tokens >= 1) {
    team.tokens -= 1;
    ++team.admitted;
    return std::nullopt;
  }
  ++team.refused;
  // Each refused request gets a later time than those before it: all of them
  // could not be admitted at once.
  const double rate = std::max(
      team.limited ? team.rate + team.credit : FallbackRate(team), 1e-3);
  const auto wait = [&](double tokens) {
    return std::chrono::duration_cast<MonoTime::duration>(
        DoubleSeconds(std::min(tokens / rate, 60.0)));
  };
  team.promised =
      std::max(team.promised + wait(1), now + wait(1 - team.tokens));
  team.promised = std::min(team.promised, now + kMaxRetryAfter);
  return std::max(kMinRetryAfter,
                  std::chrono::ceil<Milliseconds>(team.promised - now));
}

void QuotaLimiter::Start(Team& team, MonoTime now) const {
  team.seen = true;
  team.limited = false;
  team.rate = 0;
  team.share = 0;
  team.usual = 0;
  team.credit = team.silent ? 1 : team.quota.FirstCredit();
  team.tokens = team.credit;
  team.refilled = now;
  team.period_start = now;
  team.lease_ends = now + kFirstReplyTimeout;
  team.lapsed = false;
  team.acknowledged = team.admitted;
  team.period_admitted = team.admitted;
}

bool QuotaLimiter::IsForgotten(const Team& team, MonoTime now) const {
  const bool returned =
      !team.reported && team.demand == 0 && team.admitted <= team.acknowledged;
  // Notifications about a limited team are repeated. If they stop, this host is
  // cut off; the limit then goes on for a time.
  // Otherwise, a lease that ends before the reply to the next report would
  // leave a host without credit that starts to see requests again.
  const MonoTime::duration hold = team.limited
                                      ? MonoTime::duration(kLimitHold)
                                      : -MonoTime::duration(kFirstReplyTimeout);
  return returned && now > team.lease_ends + hold;
}

double QuotaLimiter::FallbackRate(const Team& team) const {
  return std::max(team.share, team.quota.rate / hosts_);
}

void QuotaLimiter::Refill(Team& team, MonoTime now) const {
  const auto add = [&](double rate, double limit, MonoTime until) {
    if (until <= team.refilled) return;
    const DoubleSeconds elapsed = until - team.refilled;
    team.refilled = until;
    if (team.tokens < limit)
      team.tokens = std::min(limit, team.tokens + elapsed.count() * rate);
  };
  const double quota_rate = team.quota.rate;
  if (team.lease_ends > team.refilled) {
    const MonoTime until = std::min(now, team.lease_ends);
    if (team.limited) {
      const double rate = team.rate + team.credit;
      add(rate, SavedRequests(rate), until);
    } else {
      // Covers the requests of a period twice when a reply is lost.
      add(2 * team.rate + quota_rate / hosts_, team.credit, until);
    }
  }
  if (now <= team.lease_ends) return;
  // Without a valid lease, only the last known share applies. Credit that was
  // granted expires with the lease.
  const double rate = FallbackRate(team);
  if (!team.lapsed)
    team.tokens = std::min(team.tokens, FirstTokens(team, rate));
  team.lapsed = true;
  add(rate, SavedRequests(rate), now);
}

std::vector<TeamHash> QuotaLimiter::ReportableTeams() const {
  std::vector<TeamHash> reportable;
  for (const auto& [hash, team] : teams_) {
    if (team.demand > 0 || team.reported ||
        (team.seen && team.admitted > team.acknowledged))
      reportable.push_back(hash);
  }
  return reportable;
}

std::vector<TeamHash> QuotaLimiter::UrgentTeams(MonoTime now) const {
  std::vector<TeamHash> urgent;
  for (const auto& [hash, team] : teams_) {
    const bool first = team.demand > 0 && !team.reported;
    // While the team is not limited, the use of the whole period is too late a
    // measure: a rise would be noticed when most of the tolerance is used up.
    // A limited team gets rates by demand, which early reports make noisier.
    const double elapsed =
        team.limited ? 1
                     : std::min(1.0, DoubleSeconds(now - team.period_start) /
                                         DoubleSeconds(kQuotaReportPeriod));
    const bool rises =
        team.demand > kRise * elapsed * team.usual + kRiseRequests;
    const bool uses_credit = team.demand > 0 && !team.limited &&
                             team.tokens < (1 - kCreditPart) * team.credit;
    if (first || rises || uses_credit) urgent.push_back(hash);
  }
  return urgent;
}

std::vector<TeamUsage> QuotaLimiter::TakeUsage(const std::vector<TeamHash>& of,
                                               MonoTime now) {
  std::vector<TeamUsage> usage;
  for (const TeamHash hash : of) {
    const auto found = teams_.find(hash);
    if (found == teams_.end()) continue;
    Team& team = found->second;
    const auto period =
        std::chrono::duration_cast<Milliseconds>(now - team.period_start);
    usage.push_back({.team = hash,
                     .demand = team.demand,
                     .period_ms = static_cast<std::uint16_t>(
                         std::clamp<std::int64_t>(period.count(), 1, 60'000)),
                     .share = static_cast<float>(FallbackRate(team)),
                     .admitted = team.admitted,
                     .acknowledged = team.acknowledged});
    const DoubleSeconds elapsed = std::max<MonoTime::duration>(
        now - team.period_start, kQuotaUrgentPeriod);
    team.used_per_s =
        static_cast<double>(team.admitted - team.period_admitted) /
        elapsed.count();
    team.usual = team.demand * std::max(1.0, kQuotaReportPeriod / elapsed);
    team.reported = team.demand > 0;
    team.demand = 0;
    team.period_admitted = team.admitted;
    team.period_start = now;
  }
  return usage;
}

void QuotaLimiter::OnGrants(const QuotaGrants& grants,
                            const std::vector<TeamUsage>& acknowledged,
                            MonoTime now) {
  for (const TeamUsage& usage : acknowledged) {
    const auto found = teams_.find(usage.team);
    if (found == teams_.end()) continue;
    Team& team = found->second;
    team.acknowledged = std::max(team.acknowledged, usage.admitted);
    team.silent = false;
  }
  for (const TeamGrant& grant : grants.teams) {
    const auto found = teams_.find(grant.team);
    if (found == teams_.end() || !(grant.rate >= 0) || !(grant.credit >= 0))
      continue;
    Team& team = found->second;
    if (!team.seen) Start(team, now);
    Refill(team, now);
    const bool starts = grant.limited && !team.limited;
    team.limited = grant.limited;
    team.rate = std::min<double>(grant.rate, team.quota.WindowLimit());
    // The rates of a limited team may sum up to the steady rate. Only the rate
    // holds for long on hosts that do not know of each other.
    const double share =
        grant.limited ? team.rate * team.quota.rate / team.quota.SteadyRate()
                      : team.rate;
    // Averaged, because the sum over the hosts of the larger of a noisy share
    // and the even part of the rate is above the rate.
    team.share = team.share == 0
                     ? share
                     : team.share + kShareWeight * (share - team.share);
    team.lease_ends = now + Milliseconds(grants.lease_ms);
    team.refilled = now;
    team.lapsed = false;
    team.credit = std::min<double>(grant.credit, team.quota.WindowLimit());
    if (!grant.limited) {
      // A debt that the host owes from before is part of the allocator's level.
      team.tokens = team.credit;
      team.promised = now;
    } else if (starts) {
      team.tokens = std::min(team.tokens, FirstTokens(team, team.rate));
      team.promised = now;
    } else {
      team.tokens =
          std::min(team.tokens, SavedRequests(team.rate + team.credit));
    }
  }
}

void QuotaLimiter::OnAllocatorChanged(const std::vector<TeamHash>& teams,
                                      bool silent) {
  for (const TeamHash hash : teams) {
    const auto found = teams_.find(hash);
    if (found == teams_.end()) continue;
    found->second.silent = silent;
  }
}

void QuotaLimiter::Expire(MonoTime now) {
  for (auto& [hash, team] : teams_) {
    if (!team.seen || !IsForgotten(team, now)) continue;
    team.seen = false;
    team.limited = false;
    team.used_per_s = 0;
  }
}

std::vector<QuotaLimiter::TeamState> QuotaLimiter::Teams(MonoTime now) const {
  std::vector<TeamState> states;
  for (const auto& [hash, team] : teams_) {
    if (!team.seen && team.admitted + team.refused == 0) continue;
    states.push_back({.team = team.name,
                      .quota = team.quota,
                      .limited = team.limited,
                      .leased = team.seen && now <= team.lease_ends,
                      .rate = team.rate,
                      .used_per_s = team.used_per_s,
                      .admitted = team.admitted,
                      .refused = team.refused});
  }
  return states;
}

double QuotaLimiter::FirstTokens(const Team& team, double rate) const {
  // The hosts' first tokens of a small rate come at different times.
  const std::uint64_t hash =
      RendezvousWeight(std::to_string(options_.random_seed), team.name.value());
  const double fraction = static_cast<double>(hash >> 11) * 0x1.0p-53;
  return std::max(fraction, rate * kFirstSeconds);
}

}  // namespace camphor

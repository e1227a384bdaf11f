#ifndef CAMPHORHILL_CORE_QUOTA_QUOTA_LIMITER_H_
#define CAMPHORHILL_CORE_QUOTA_QUOTA_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/config/team_table.h"
#include "core/quota/quota_message.h"
#include "core/quota/team_quota.h"

namespace camphor {

/// Admits or refuses the requests of teams on this host, within the grants of
/// the teams' allocators.
///
/// Designed for 1,000 teams with a rate and 10,000 requests per second per
/// host. Not thread-safe. The current time is passed in.
class QuotaLimiter {
 public:
  struct Options {
    std::uint64_t random_seed = 1;  ///< differs between hosts; spreads their
                                    ///< first requests after a limit starts
  };

  /// State of one team on this host, for the dump. Immutable value type.
  struct TeamState {
    TeamName team;               ///< the team
    TeamQuota quota{};           ///< over all hosts
    bool limited = false;        ///< its rate is limited on this host
    bool leased = false;         ///< a valid grant exists
    double rate = 0;             ///< granted to this host, requests per second
    double used_per_s = 0;       ///< admitted by this host in the last report
                                 ///< period, requests per second
    std::uint64_t admitted = 0;  ///< since the process started
    std::uint64_t refused = 0;   ///< since the process started
  };

  explicit QuotaLimiter(Options options) : options_(options) {}

  /// Replaces the quotas. Teams without a rate are not limited and not counted.
  void SetTeams(const TeamTable& teams);

  /// Sets the number of hosts that share the quotas. @pre hosts > 0.
  void SetHosts(std::size_t hosts) { hosts_ = static_cast<double>(hosts); }

  /// Returns true if a team has a rate.
  bool has_quotas() const { return !teams_.empty(); }

  /// Admits a request, or returns the time after which a repetition can be
  /// admitted. Counts the request either way. Requests of teams without a rate
  /// are always admitted.
  std::optional<Milliseconds> Admit(const TeamName& team, MonoTime now);

  /// What Admit would do with the next request of a team. Immutable value type.
  struct AdmitPreview {
    std::optional<Milliseconds> retry_after{};  ///< set: it would be refused
    double remaining = 0;  ///< requests that this host admits at once
    std::optional<Milliseconds>
        lease_left{};      ///< validity of the grant; std::nullopt: none
    bool limited = false;  ///< the rate of this host is limited
    double rate = 0;       ///< as granted, or the share that applies without
                           ///< a grant; requests per second
  };

  /// Runs Admit on a copy of the team's state. Returns std::nullopt if the team
  /// has no rate.
  std::optional<AdmitPreview> PreviewAdmit(const TeamName& name,
                                           MonoTime now) const;

  /// Returns the teams that have something to report: requests since the last
  /// report, or a grant to return by a last report of zero requests. Starts a
  /// new report period for them.
  std::vector<TeamUsage> TakeUsage(const std::vector<TeamHash>& of,
                                   MonoTime now);

  /// Returns the teams with something to report, and those whose report should
  /// not wait because their use rises fast or has taken much of the credit.
  std::vector<TeamHash> ReportableTeams() const;
  std::vector<TeamHash> UrgentTeams(MonoTime now) const;

  /// Takes over grants. `acknowledged` are the uses that they reply to.
  void OnGrants(const QuotaGrants& grants,
                const std::vector<TeamUsage>& acknowledged, MonoTime now);

  /// The allocator of these teams has changed or does not reply. While
  /// `silent`, teams that are new on this host start without credit.
  void OnAllocatorChanged(const std::vector<TeamHash>& teams, bool silent);

  /// Forgets the state of teams that have been idle since their lease expired.
  void Expire(MonoTime now);

  /// State of the teams that this host has seen. The dump is for operators.
  std::vector<TeamState> Teams(MonoTime now) const;

  /// Requests refused since the process started.
  std::uint64_t refused() const { return refused_; }

 private:
  struct Team {
    TeamName name;
    TeamQuota quota{};
    bool seen = false;      ///< state below is in use
    bool limited = false;   ///< as granted
    bool silent = false;    ///< the allocator does not reply
    bool reported = false;  ///< the last report had requests
    double rate = 0;        ///< as granted
    double share = 0;       ///< average of `rate`, for use without a lease
    double credit = 0;      ///< as granted
    double tokens = 0;
    MonoTime refilled{};
    MonoTime lease_ends{};
    bool lapsed = false;  ///< the lease has expired
    MonoTime promised{};  ///< earliest time at which the requests refused
                          ///< so far can all be admitted
    MonoTime period_start{};
    std::uint32_t demand = 0;           ///< since the last report
    std::uint64_t period_admitted = 0;  ///< value of `admitted` at that report
    double usual = 0;                   ///< demand in the last report
    double used_per_s = 0;
    std::uint64_t admitted = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t refused = 0;
  };

  std::optional<Milliseconds> AdmitOne(Team& team, MonoTime now) const;
  void Start(Team& team, MonoTime now) const;
  void Refill(Team& team, MonoTime now) const;
  bool IsForgotten(const Team& team, MonoTime now) const;
  double FallbackRate(const Team& team) const;
  double FirstTokens(const Team& team, double rate) const;

  Options options_;
  double hosts_ = 1;
  std::map<TeamHash, Team> teams_;
  std::uint64_t refused_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_QUOTA_QUOTA_LIMITER_H_

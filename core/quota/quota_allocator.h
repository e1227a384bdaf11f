#ifndef CAMPHORHILL_CORE_QUOTA_QUOTA_ALLOCATOR_H_
#define CAMPHORHILL_CORE_QUOTA_QUOTA_ALLOCATOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/config/team_table.h"
#include "core/quota/quota_message.h"
#include "core/quota/team_quota.h"

namespace camphor {

/// Divides the token buckets of the teams that this host is the allocator of.
///
/// Each team has one token bucket. Hosts report what they admitted; it is
/// subtracted, also below zero (debt). While the bucket is well filled, hosts
/// get a credit that lets any of them take over the whole demand. Otherwise the
/// team is limited: each host gets a part of the rate by its demand, and the
/// sum of the rates is the team's rate, corrected so that the debt is repaid
/// within about a second. Once a team has been limited for a window, the sum is
/// its steady rate, which spreads the burst over the window.
///
/// Designed for 64 reporting hosts per shard and 1,000 teams, and for 1,800
/// hosts to notify when a team starts or stops being limited. Not thread-safe.
/// The current time is passed in.
class QuotaAllocator {
 public:
  struct Options {
    std::function<void(const Endpoint&, const QuotaGrants&)>
        send{};  ///< sends grants to a host; must not call this object
  };

  /// State of one team, for the dump. Immutable value type.
  struct TeamState {
    TeamHash team = 0;      ///< HashTeam() of its name
    bool limited = false;   ///< its hosts are limited
    double level = 0;       ///< tokens in the bucket; negative: debt
    double demand = 0;      ///< requests per second of all hosts
    std::size_t hosts = 0;  ///< hosts that report
  };

  explicit QuotaAllocator(Options options) : options_(std::move(options)) {}

  /// Replaces the quotas. A lowered limit applies to the next grants.
  void SetTeams(const TeamTable& teams);

  /// Sets the hosts that are notified, by mesh endpoint, and the number of
  /// hosts that hold a part of the quotas: these and the lost ones, which may
  /// be cut off rather than dead. @pre known >= hosts.size().
  void SetHosts(std::vector<Endpoint> hosts, std::size_t known);

  /// Sets which teams this host is the allocator of.
  void SetOwned(const std::set<TeamHash>& teams, MonoTime now);

  /// Counts a report and returns the reply. Teams that this host is not the
  /// allocator of are not in the reply.
  QuotaGrants OnReport(const Endpoint& from, const QuotaReport& report,
                       MonoTime now);

  /// Notifies the hosts of teams that start or stop being limited. Call about
  /// ten times a second.
  void Tick(MonoTime now);

  /// State of the teams with use.
  std::vector<TeamState> Teams() const;

 private:
  struct HostUse {
    std::uint64_t incarnation = 0;
    std::uint64_t admitted = 0;  ///< of the last report
    double demand = 0;           ///< requests per second, averaged
    bool idle = false;           ///< the last report had no requests
    MonoTime reported{};         ///< time of the last report
  };
  struct Team {
    TeamQuota quota{};
    bool owned = false;
    bool used = false;  ///< state below is in use
    MonoTime owned_since{};
    MonoTime released = MonoTime::min();  ///< when it was last owned
    MonoTime first_use{};
    double level = 0;   ///< of the bucket with the rate and the burst
    double steady = 0;  ///< of a bucket with the steady rate and no burst
    MonoTime refilled{};
    bool limited = false;
    MonoTime limited_since{};
    MonoTime above_rate{};  ///< when the demand was last above the rate
    bool notify = false;
    MonoTime notified{};
    double demand = 0;    ///< sum over the hosts, to divide the rate by
    double reserved = 0;  ///< of it, that of hosts that may be cut off: they
                          ///< use their shares without reporting
    MonoTime newest{};    ///< time of the last report of any host
    double arrivals = 0;  ///< requests per second of all hosts, averaged
    std::map<Endpoint, HostUse> hosts{};
  };

  void Count(Team& team, const Endpoint& from, std::uint64_t incarnation,
             const TeamUsage& usage, MonoTime now);
  void Refill(Team& team, MonoTime now) const;
  void UpdateLimited(Team& team, MonoTime now) const;
  void DropSilentHosts(Team& team, MonoTime now) const;
  static void SumHosts(Team& team, MonoTime now);
  static bool IsLearning(const Team& team, MonoTime now);
  void Notify(MonoTime now);
  static double CurrentDemand(const HostUse& use, MonoTime now);
  static bool IsSteady(const Team& team, MonoTime now);
  double LimitedRate(const Team& team, MonoTime now) const;
  TeamGrant MakeGrant(TeamHash hash, const Team& team, double demand,
                      MonoTime now) const;

  Options options_;
  std::vector<Endpoint> hosts_;
  double alive_ = 1;
  double part_ = 1;  ///< of the quotas that the hosts of this side may use
  std::map<TeamHash, Team> teams_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_QUOTA_QUOTA_ALLOCATOR_H_

#ifndef CAMPHORHILL_CORE_QUOTA_QUOTA_MANAGER_H_
#define CAMPHORHILL_CORE_QUOTA_QUOTA_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "core/config/team_table.h"
#include "core/quota/quota_allocator.h"
#include "core/quota/quota_limiter.h"
#include "core/quota/quota_message.h"
#include "core/replication/host_record.h"

namespace camphor {

/// Connects this host's limiter with the teams' allocators, and runs the
/// allocator for the shards of teams that this host is responsible for.
///
/// Teams are divided into shards, one per 64 alive hosts; the allocator of a
/// shard is the first alive host of a rendezvous hash. Without a team that has
/// a rate, nothing is sent. Must be used from one thread, the decisions thread.
/// The current time is passed in.
class QuotaManager {
 public:
  struct Options {
    HostId host;                    ///< this host
    Endpoint mesh{};                ///< its mesh endpoint
    std::uint64_t incarnation = 1;  ///< increases with each process start
    std::function<void(const std::function<void(QuotaLimiter&)>&)>
        with_limiter{};  ///< calls back at once with the limiter, locked
                         ///< against the thread that admits requests
    std::function<void(const Endpoint&, const QuotaReport&)>
        send_report{};  ///< sends a report to another host
    std::function<void(const Endpoint&, const QuotaGrants&)>
        send_grants{};  ///< sends grants to another host
    std::function<void(const TeamName&, bool limited, double rate)>
        limited_changed{};  ///< a team starts or stops being limited on this
                            ///< host, at a rate per second; called at most
                            ///< once a second in the long run; may be null
  };

  /// @pre all callbacks are set, except those that may be null.
  explicit QuotaManager(Options options);

  /// Replaces the quotas.
  void SetTeams(const TeamTable& teams, MonoTime now);

  /// Replaces the host records. Hosts that died without leaving are counted as
  /// lost for 10 minutes: they may be cut off.
  void SetHosts(const std::map<HostId, HostRecord>& hosts, MonoTime now);

  /// Handles a report of another host: answers it if this host is the allocator
  /// of its teams.
  void OnReport(const Endpoint& from, const QuotaReport& report, MonoTime now);

  /// Handles grants of another host. Those that are not from the allocator of
  /// their team are ignored.
  void OnGrants(const Endpoint& from, const QuotaGrants& grants, MonoTime now);

  /// Sends due reports and notifications. Call about ten times a second.
  void Tick(MonoTime now);

  /// Host that is the allocator of a team; empty before SetHosts().
  HostId AllocatorOf(TeamHash team) const;

  /// State of a team over all hosts; std::nullopt unless this host is its
  /// allocator and has had reports about it.
  std::optional<QuotaAllocator::TeamState> AllocatedState(TeamHash team) const;

  /// State as JSON text for the state dump.
  std::string DumpJson(MonoTime now) const;

  /// Metrics in the Prometheus text format. The number of time series does not
  /// depend on the number of teams.
  std::string MetricsText(MonoTime now) const;

 private:
  struct Shard {
    HostId allocator;
    Endpoint endpoint{};
    MonoTime reported = MonoTime::min();  ///< when the last report was sent
    MonoTime waiting_since = MonoTime::max();  ///< oldest unanswered report
    bool silent = false;                       ///< it does not answer
    std::uint32_t sequence = 0;                ///< of the last report
    std::vector<TeamUsage> unanswered{};       ///< contents of the last report
  };

  std::size_t ShardOf(TeamHash team) const;
  void Reassign(MonoTime now);
  void Apply(const Endpoint& from, const QuotaGrants& grants, MonoTime now);
  void ReportShard(Shard& shard, const std::vector<TeamHash>& teams,
                   MonoTime now);
  void SetSilent(Shard& shard, bool silent);
  void LogTransitions(MonoTime now);

  Options options_;
  QuotaAllocator allocator_;
  std::map<HostId, Endpoint> alive_;
  std::map<HostId, HostStatus> statuses_;
  std::map<HostId, MonoTime> lost_;
  std::vector<TeamHash> teams_;  ///< with a rate
  std::vector<Shard> shards_;
  std::uint32_t last_sequence_ = 0;
  std::map<TeamName, bool> limited_;  ///< as logged
  TokenBucket log_lines_{{.per_second = 1, .burst = 20}};
  std::uint64_t reports_ = 0;
  std::uint64_t unanswered_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_QUOTA_QUOTA_MANAGER_H_

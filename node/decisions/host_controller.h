#ifndef CAMPHORHILL_NODE_DECISIONS_HOST_CONTROLLER_H_
#define CAMPHORHILL_NODE_DECISIONS_HOST_CONTROLLER_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "core/base/endpoint.h"
#include "core/membership/departure_replicator.h"
#include "core/quota/quota_manager.h"
#include "core/replication/freshness_gate.h"
#include "core/replication/freshness_tracker.h"
#include "core/replication/replicator.h"
#include "core/rollout/rollout_manager.h"
#include "core/routing/effective_routing.h"
#include "core/routing/request_sample.h"
#include "node/decisions/availability_monitor.h"
#include "node/decisions/published.h"
#include "node/log/log_sink.h"
#include "node/settings/settings.h"
#include "node/targets/target_registry.h"

namespace camphor {

using TargetAddresses = std::map<TargetId, Endpoint>;

/// Owns the replicated state, the rollouts and the registry of this host's own
/// targets, and publishes the effective routing derived from them.
///
/// All methods must be called from the decisions thread. The caller passes in
/// the current time.
class HostController {
 public:
  struct Options {
    Settings settings;              ///< of this process
    std::uint64_t incarnation = 0;  ///< increases with each process start
    std::uint64_t process_started_ms = UINT64_MAX;  ///< see TargetRegistry
    Endpoint forward{};      ///< listener for proxies of other hosts
    LogSink* log = nullptr;  ///< must outlive this object
    std::function<void(const std::function<void(QuotaLimiter&)>&)>
        with_limiter{};  ///< calls back at once with the limiter of teams,
                         ///< locked against the proxy thread
    Published<EffectiveRouting>* routing =
        nullptr;  ///< must outlive this object
    Published<TargetAddresses>* addresses =
        nullptr;  ///< must outlive this object
    std::function<bool(const Endpoint&, const MeshMessage&)>
        send{};  ///< sends a message over the mesh
    std::function<void(const ConfigHead&)>
        fetch_snapshot{};  ///< requests a snapshot from the platform
    std::function<void(const ConfigSnapshot&)>
        config_changed{};  ///< called after a newer snapshot is activated
    std::function<void()>
        departures_changed{};  ///< called after departures() has changed
    FreshnessGate* freshness = nullptr;  ///< must outlive this object; set if
                                         ///< revocation is strict
    std::function<void()>
        prove_freshness{};  ///< reads the platform once, see
                            ///< OnPlatformProof(); set if revocation is strict
  };

  explicit HostController(Options options);
  ~HostController();

  /// Handles a message or a connection change reported by the mesh. `boot_now`
  /// also counts the time in which this host was suspended.
  void OnMessage(const Endpoint& from, const MeshMessage& message, MonoTime now,
                 MonoTime boot_now);
  void OnPeerState(const Endpoint& peer, bool connected, MonoTime now);

  /// Handles a successful read of the platform: `proof.at` is when it started,
  /// on the boot clock.
  void OnPlatformProof(const FreshnessTracker::Proof& proof, MonoTime boot_now);

  /// Records the result of one request.
  void OnSample(const RequestSample& sample, MonoTime now);

  /// Publishes a poison record: a target of this host died while handling the
  /// request with the given fingerprint.
  void OnTargetDeath(std::uint64_t fingerprint, const TargetId& target,
                     MonoTime now, WallTime wall_now);

  /// Takes a target of this host as cold until its next report: it may have
  /// restarted.
  void OnTargetRestart(const TargetId& target, MonoTime now);

  /// Registration of this host's targets; see TargetRegistry. Report() returns
  /// false if the report was refused because there are too many targets.
  bool Announce(const TargetAnnouncement& announcement, MonoTime now);
  bool Report(const TargetAnnouncement& report, MonoTime now);
  bool Renew(const TargetId& id, MonoTime now);
  bool Leave(const TargetDeparture& departure, MonoTime now);

  /// Adds the departures that earlier processes of this host stored on the
  /// platform.
  void LoadDepartures(const std::vector<TargetDeparture>& departures,
                      MonoTime now);

  /// Whether other hosts hold all departures(), so that they survive this
  /// process.
  bool DeparturesReplicated() const {
    return departure_replicator_->replicated();
  }

  /// Departures of this host's targets, to be loaded by its next process.
  const std::vector<TargetDeparture>& departures() const {
    return registry_.departures();
  }

  /// Announces to the mesh that this host is leaving.
  void LeaveMesh(MonoTime now);

  /// Expires leases and runs the periodic work of replication and rollouts.
  /// `boot_now` is monotonic too and also counts the time in which this host
  /// was suspended: rollouts have a deadline on other hosts' clocks.
  void Tick(MonoTime now, MonoTime boot_now, WallTime wall_now);

  /// Rebuilds the routing if its inputs have changed, and publishes the result
  /// if it differs from the published routing. Then publishes the time as of
  /// which the published routing is known to be the newest.
  void PublishRouting(MonoTime now);

  /// Whether a known change has not yet reached the published routing. Such a
  /// change is published within milliseconds.
  bool routing_pending() const { return routing_changed_ || urgent_; }

  /// Whether replication is ready and a routing has been published, so that
  /// callers can be served.
  bool ready() const;

  /// Age of the knowledge of the published configuration as of the latest tick;
  /// none if revocation is not strict or before the first proof.
  std::optional<Milliseconds> ConfigAge() const {
    return freshness_ ? freshness_->Age(boot_now_) : std::nullopt;
  }

  /// State of strict revocation for the dump, as of the latest tick.
  boost::json::object DumpFreshness() const;

  /// Evacuated failure domains and cold targets, as known to this host.
  const AvailabilityMonitor& availability() const { return availability_; }

  Replicator& replicator() { return *replicator_; }
  RolloutManager& rollouts() { return *rollouts_; }
  const QuotaManager& quotas() const { return *quotas_; }

 private:
  Replicator::Options ReplicatorOptions();
  RolloutManager::Options ManagerOptions();
  QuotaManager::Options QuotaOptions();
  FreshnessTracker::Options FreshnessOptions();
  void BuildAndStoreRouting(MonoTime now);
  void UpdateFreshness();
  void LogFreshness();
  void OnConfigChanged(const ConfigSnapshotPtr& snapshot);
  void OnRolloutChanged(const RolloutRecord& record);
  void OnTargetsChanged(MonoTime now);
  bool HasColdRate(const PoolName& pool) const;
  DepartureReplicator::Options DepartureOptions();
  void AddDepartures(const std::vector<TargetDeparture>& departures,
                     std::string_view source);
  void ReportDepartures();
  WallTime FindNextBlockEnd() const;
  void LogRouting(const EffectiveRouting& routing);
  void LogEvaluation(const RolloutEvaluation& evaluation);

  Options options_;
  TargetRegistry registry_;
  std::unique_ptr<RolloutManager> rollouts_;
  std::unique_ptr<QuotaManager> quotas_;
  std::unique_ptr<Replicator> replicator_;
  std::unique_ptr<DepartureReplicator> departure_replicator_;
  AvailabilityMonitor availability_;
  std::optional<FreshnessTracker> freshness_;  ///< set if revocation is strict
  ConfigVersion published_version_ = 0;        ///< of the published routing
  bool published_teams_ = false;               ///< that routing requires keys
  bool watcher_ = true;           ///< this host polls the platform itself
  bool refusing_logged_ = false;  ///< the log says that keys are refused
  MonoTime next_refusing_log_{};  ///< on the boot clock
  MonoTime boot_now_{};           ///< boot time of the latest call with one
  bool hosts_changed_ = false;    ///< rollout manager needs an update
  bool routing_changed_ = true;   ///< routing needs a rebuild
  bool urgent_ = false;           ///< routing needs an immediate rebuild
  MonoTime last_built_{};         ///< time of the last routing build
  std::uint64_t reported_departures_ =
      0;                 ///< as of the last departures_changed
  MonoTime now_{};       ///< time passed to the current call
  WallTime wall_now_{};  ///< wall time of the latest tick
  WallTime block_ends_ = WallTime::max();  ///< when the next blocked request is
                                           ///< admitted again
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_HOST_CONTROLLER_H_

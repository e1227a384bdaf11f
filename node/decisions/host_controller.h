#ifndef CAMPHORHILL_NODE_DECISIONS_HOST_CONTROLLER_H_
#define CAMPHORHILL_NODE_DECISIONS_HOST_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "core/base/endpoint.h"
#include "core/replication/replicator.h"
#include "core/rollout/rollout_manager.h"
#include "core/routing/effective_routing.h"
#include "core/routing/request_sample.h"
#include "node/decisions/published.h"
#include "node/log/log_sink.h"
#include "node/settings/settings.h"
#include "node/targets/target_registry.h"

namespace camphor {

using TargetAddresses = std::map<TargetId, Endpoint>;

/// Owns what this host decides upon: replicated state, rollouts and the targets
/// of this host; publishes the routing that follows from them.
///
/// Every method runs on the decisions thread. Time is passed in.
class HostController {
 public:
  struct Options {
    Settings settings;              ///< of this process
    std::uint64_t incarnation = 0;  ///< rises with each start of the process
    Endpoint forward{};             ///< listener for other hosts' proxies
    LogSink* log = nullptr;         ///< outlives this
    Published<EffectiveRouting>* routing = nullptr;   ///< outlives this
    Published<TargetAddresses>* addresses = nullptr;  ///< outlives this
    std::function<bool(const Endpoint&, const MeshMessage&)>
        send{};  ///< hands a message to the mesh
    std::function<void(const ConfigHead&)>
        fetch_snapshot{};  ///< asks the platform for a snapshot
    std::function<void(const ConfigSnapshot&)>
        config_changed{};  ///< a newer snapshot is in force
  };

  explicit HostController(Options options);
  ~HostController();

  /// Takes a message or a change of connection from the mesh.
  void OnMessage(const Endpoint& from, const MeshMessage& message,
                 MonoTime now);
  void OnPeerState(const Endpoint& peer, bool connected, MonoTime now);

  /// Counts one request's result.
  void OnSample(const RequestSample& sample, MonoTime now);

  /// A target of this host died under the request of the given fingerprint.
  void OnTargetDeath(std::uint64_t fingerprint, const TargetId& target,
                     MonoTime now, WallTime wall_now);

  /// Targets of this host announce themselves; see TargetRegistry.
  bool Announce(const TargetAnnouncement& announcement, MonoTime now);
  bool Report(const TargetAnnouncement& report, MonoTime now);
  bool Renew(const TargetId& id, MonoTime now);
  bool Leave(const TargetId& id, MonoTime now);

  /// Tells the mesh that this host goes.
  void LeaveMesh(MonoTime now);

  /// Advances everything that depends on time.
  void Tick(MonoTime now, WallTime wall_now);

  /// Publishes the routing if anything that it depends on has changed.
  void PublishRouting(MonoTime now);

  /// True while the published routing lacks a change that is known here; it
  /// follows within milliseconds.
  bool routing_pending() const { return routing_changed_ || urgent_; }

  /// True once callers may be served.
  bool ready() const;

  Replicator& replicator() { return *replicator_; }
  RolloutManager& rollouts() { return *rollouts_; }

 private:
  Replicator::Options ReplicatorOptions();
  RolloutManager::Options ManagerOptions();
  void OnConfigChanged(const ConfigSnapshotPtr& snapshot);
  void OnRolloutChanged(const RolloutRecord& record);
  void TargetsChanged(MonoTime now);
  void LogRouting(const EffectiveRouting& routing);

  Options options_;
  TargetRegistry registry_;
  std::unique_ptr<RolloutManager> rollouts_;
  std::unique_ptr<Replicator> replicator_;
  bool hosts_changed_ = false;   ///< the rollout manager must hear of it
  bool routing_changed_ = true;  ///< the routing must be built again
  bool urgent_ = false;          ///< the same, at once
  MonoTime last_built_{};        ///< when the routing was built last
  MonoTime now_{};               ///< time of the call that runs
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_DECISIONS_HOST_CONTROLLER_H_

#ifndef CAMPHORHILL_CORE_REPLICATION_REPLICATOR_H_
#define CAMPHORHILL_CORE_REPLICATION_REPLICATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "core/replication/host_record.h"
#include "core/replication/mesh_message.h"
#include "core/replication/poison_record.h"
#include "core/replication/replicator_settings.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// Keeps this host's copy of the replicated state records, spreads changes,
/// repairs gaps and watches neighbours.
///
/// Owned by the decisions thread; time and randomness are passed in; it sends
/// only through the hooks. The version in force never falls, and a snapshot is
/// taken whole or not at all.
class Replicator {
 public:
  struct Options {
    ReplicatorSettings settings{};  ///< limits and periods
    HostRecord self{};              ///< this host, with its incarnation
    std::vector<Endpoint> seeds{};  ///< mesh endpoints of hosts to join through
    std::uint64_t random_seed = 1;  ///< makes choices of peers repeatable
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< hands a message to the mesh
    std::function<void(const ConfigSnapshotPtr&)>
        config_changed{};                   ///< a newer snapshot is in force
    std::function<void()> hosts_changed{};  ///< some host record changed
    std::function<void(const RolloutRecord&)>
        rollout_changed{};                   ///< some rollout record changed
    std::function<void()> poison_changed{};  ///< some poison record changed
    std::function<void(const EvidenceReport&)>
        evidence{};  ///< evidence for this host arrived
    std::function<void(const ConfigHead&)>
        fetch_snapshot{};  ///< asks the platform for a snapshot
  };

  /// @pre options.self has a host id, an incarnation above 0 and a mesh
  /// endpoint; all hooks are set.
  explicit Replicator(Options options);
  ~Replicator();

  /// Takes a message from the mesh. `from` is the sender's mesh endpoint.
  void OnMessage(const Endpoint& from, const MeshMessage& message,
                 MonoTime now);

  /// The mesh says whether a peer can be reached.
  void OnPeerState(const Endpoint& peer, bool connected, MonoTime now);

  /// Replaces this host's own targets and spreads the change.
  void SetTargets(std::vector<TargetInfo> targets, MonoTime now);

  /// Takes further mesh endpoints of hosts to join through.
  void AddSeeds(const std::vector<Endpoint>& seeds, MonoTime now);

  /// True while no other host is known to be alive.
  bool alone() const;

  /// Marks this host as leaving and spreads it.
  void Leave(MonoTime now);

  /// Merges a record that was made on this host and spreads it.
  void Publish(const RolloutRecord& record, MonoTime now);

  /// Merges a record that was made on this host and spreads it.
  void Publish(const PoisonRecord& record, MonoTime now);

  /// Sends evidence to the given host.
  void SendEvidence(const HostId& to, const EvidenceReport& report,
                    MonoTime now);

  /// The platform says which head is the newest one.
  void OnPlatformHead(const ConfigHead& head, MonoTime now);

  /// A snapshot came from the platform, whole and verified by the caller's
  /// codec.
  void OnPlatformSnapshot(const ConfigSnapshot& snapshot, MonoTime now);

  /// Probes, repairs and expires. Call about ten times a second.
  void Tick(MonoTime now, WallTime wall_now);

  /// True once this host may serve callers: see docs/ARCHITECTURE.md, cold
  /// start.
  bool ready() const;

  /// Tells the others whether the platform answers this host; its place among
  /// the pollers is taken by another while it does not.
  void SetPlatformLost(bool lost, MonoTime now);

  /// True when this host is one of its failure domain's pollers of the
  /// platform.
  bool is_platform_poller() const;

  const std::map<HostId, HostRecord>& hosts() const;
  const std::map<RolloutId, RolloutRecord>& rollouts() const;
  const std::map<std::uint64_t, PoisonRecord>& poison() const;

  /// Configuration in force; null before the first.
  const ConfigSnapshotPtr& snapshot() const;

  /// State as JSON text for the dump.
  std::string DumpJson() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_REPLICATOR_H_

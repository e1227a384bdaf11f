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

/// Maintains this host's copy of the replicated state records: propagates
/// changes, repairs differences and monitors neighbours.
///
/// Owned by the decisions thread, from which all methods must be called. Time
/// and the random seed are passed in; messages are sent only through the
/// callbacks. The served version never decreases, and a snapshot is accepted
/// only as a whole.
class Replicator {
 public:
  struct Options {
    ReplicatorSettings settings{};  ///< limits and periods
    HostRecord self{};              ///< this host, with its incarnation
    std::vector<Endpoint> seeds{};  ///< mesh endpoints of hosts to join through
    std::uint64_t random_seed = 1;  ///< makes random choices reproducible
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< sends a message to a peer over the mesh
    std::function<void(const ConfigSnapshotPtr&)>
        config_changed{};                   ///< a newer snapshot is served
    std::function<void()> hosts_changed{};  ///< host records changed
    std::function<void(const RolloutRecord&)>
        rollout_changed{};                   ///< a rollout record changed
    std::function<void()> poison_changed{};  ///< poison records changed
    std::function<void(const EvidenceReport&)>
        evidence{};  ///< evidence for this host was received
    std::function<void(const ConfigHead&)>
        fetch_snapshot{};  ///< requests a snapshot from the platform
    std::function<void(const Endpoint&, const QuotaReport&)>
        quota_report{};  ///< a host reported its use of quotas; may be null
    std::function<void(const Endpoint&, const QuotaGrants&)>
        quota_grants{};  ///< an allocator granted quotas; may be null
    std::function<void(const Endpoint&, const FreshnessQuery&)>
        freshness_query{};  ///< a host asks for the age of this host's
                            ///< knowledge; null: not answered
    std::function<void(const Endpoint&, const FreshnessReply&)>
        freshness_reply{};  ///< a reply to a query of this host; null: ignored
    std::function<void(const Endpoint&, const DepartureNotice&)>
        departure_notice{};  ///< a host asks this one to hold departures; null:
                             ///< not answered
    std::function<void(const Endpoint&, const DepartureReceipt&)>
        departure_receipt{};  ///< a host holds departures of this one; null:
                              ///< ignored
  };

  /// @pre options.self has a host id, an incarnation above 0 and a mesh
  /// endpoint; all callbacks are set, except those that may be null.
  explicit Replicator(Options options);
  ~Replicator();

  /// Handles a message from the mesh. `from` is the sender's mesh endpoint.
  void OnMessage(const Endpoint& from, const MeshMessage& message,
                 MonoTime now);

  /// Handles a change of the mesh connection to a peer.
  void OnPeerState(const Endpoint& peer, bool connected, MonoTime now);

  /// Replaces this host's own targets and propagates the change.
  void SetTargets(std::vector<TargetInfo> targets, MonoTime now);

  /// Adds mesh endpoints of hosts to join through.
  void AddSeeds(const std::vector<Endpoint>& seeds, MonoTime now);

  /// True while this host has no overlay neighbours, that is, no other live
  /// host is known.
  bool alone() const;

  /// Marks this host as leaving and pushes the change immediately.
  void Leave(MonoTime now);

  /// Merges a record created on this host and propagates it.
  void Publish(const RolloutRecord& record, MonoTime now);

  /// Merges a record created on this host and propagates it.
  void Publish(const PoisonRecord& record, MonoTime now);

  /// Sends evidence to a host. Ignored if the host is unknown.
  void SendEvidence(const HostId& to, const EvidenceReport& report,
                    MonoTime now);

  /// Handles the newest head announced by the platform.
  void OnPlatformHead(const ConfigHead& head, MonoTime now);

  /// Handles a full snapshot from the platform. @pre it was verified when it
  /// was decoded.
  void OnPlatformSnapshot(const ConfigSnapshot& snapshot, MonoTime now);

  /// Runs periodic work: heartbeats, suspicions, retries and expiry. Call about
  /// ten times a second.
  void Tick(MonoTime now, WallTime wall_now);

  /// True once this host may serve callers; see the cold start section of
  /// docs/ARCHITECTURE.md.
  bool ready() const;

  /// Reports to the other hosts whether the platform fails to answer this host.
  /// While it does, another host replaces this one as a poller.
  void SetPlatformLost(bool lost, MonoTime now);

  /// True if this host polls the platform at the short period: while it is not
  /// ready, as a poller of its failure domain, and while all its neighbours are
  /// silent. Modes other than kFull override this for ready hosts.
  bool is_platform_poller() const;

  /// True while all neighbours are silent, or were until recently.
  bool isolated() const;

  /// Mesh endpoints of this host's overlay neighbours.
  std::vector<Endpoint> neighbours() const;

  /// Mesh endpoints of the hosts that poll the platform for this host's failure
  /// domain, and of those that do so for the others; without this host.
  std::vector<Endpoint> own_pollers() const;
  std::vector<Endpoint> other_pollers() const;

  const std::map<HostId, HostRecord>& hosts() const;
  const std::map<RolloutId, RolloutRecord>& rollouts() const;
  const std::map<std::uint64_t, PoisonRecord>& poison() const;

  /// Snapshot that this host serves; null before the first one.
  const ConfigSnapshotPtr& snapshot() const;

  /// State as JSON text for the state dump.
  std::string DumpJson() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_REPLICATOR_H_

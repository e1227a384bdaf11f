#ifndef CAMPHORHILL_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/base/backoff.h"
#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/membership/failure_detector.h"
#include "core/membership/overlay.h"
#include "core/replication/mesh_message.h"
#include "core/replication/record_store.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Joins the mesh, maintains this host's neighbours in the overlay, and marks
/// hosts that are lost.
///
/// Reads the host records and changes them only through the publish callback.
/// Takes the current time as a parameter. Must be used from one thread.
class Membership {
 public:
  struct Options {
    HostId self{};                  ///< this host
    Endpoint mesh{};                ///< address of its mesh listener
    std::vector<Endpoint> seeds{};  ///< hosts to join through
    std::uint64_t random_seed = 1;  ///< seed of random delays and choices
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< sends a message to a peer over the mesh
    std::function<Heartbeat(bool)>
        heartbeat{};  ///< creates a heartbeat; true requests a reply
    std::function<void(const HostRecord&)>
        publish{};  ///< merges a record and propagates it
    std::function<void(const Endpoint&)>
        join{};  ///< exchanges all records with a host
  };

  /// @pre `store` and `settings` outlive this object; all callbacks are set.
  Membership(Options options, const RecordStore& store,
             const ReplicatorSettings& settings);

  /// Handles a change of the host records: the overlay is rebuilt at the next
  /// tick.
  void OnHostsChanged() { overlay_stale_ = true; }

  /// Adds hosts to join through and makes the next tick contact one. The number
  /// of seeds is limited; the oldest are dropped.
  void AddSeeds(const std::vector<Endpoint>& seeds, MonoTime now);

  /// Handles any message from a peer.
  void OnMessageReceived(const Endpoint& from, MonoTime now);

  /// Handles a heartbeat and replies if the sender requests it.
  void OnHeartbeat(const Endpoint& from, const Heartbeat& heartbeat);

  /// Handles a report of another watcher.
  void OnSuspicionReport(const Endpoint& from, const SuspicionReport& report,
                         MonoTime now);

  /// Handles the rejection of a repair. While this host has no neighbours, it
  /// retries the join after the given delay.
  void OnBusy(const SyncBusy& busy, MonoTime now);

  /// Handles a change of the mesh connection to a peer.
  void OnPeerState(const Endpoint& peer, bool connected, MonoTime now);

  /// Sends heartbeats, joins the mesh and processes suspicions. Call about ten
  /// times a second.
  void Tick(MonoTime now);

  /// Mesh endpoints of the neighbours.
  std::vector<Endpoint> neighbours() const;

  /// True if the endpoint belongs to a neighbour.
  bool IsNeighbour(const Endpoint& peer) const;

  /// Mesh endpoints of up to `count` other live hosts, chosen at random.
  std::vector<Endpoint> SampleHosts(std::size_t count);

  /// True if this host is one of the pollers of its failure domain.
  bool is_poller() const;

  /// Mesh endpoints of the pollers of this host's failure domain, without this
  /// host.
  std::vector<Endpoint> PollersOfOwnDomain() const;

  /// Mesh endpoints of the pollers of all other failure domains.
  std::vector<Endpoint> PollersOfOtherDomains() const;

  /// True if all neighbours are silent, or were until recently, so that no
  /// change of the configuration can be expected from them.
  bool isolated(MonoTime now) const { return now < isolated_until_; }

  const Overlay& overlay() const { return overlay_; }
  const FailureDetector& detector() const { return detector_; }

 private:
  struct Neighbour {
    Endpoint endpoint{};
    MonoTime next_heartbeat{};
    MonoTime last_received{};
  };

  // A suspect that this host marks dead unless it refutes in time.
  struct Suspect {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    MonoTime since{};
  };

  void RebuildOverlay(MonoTime now);
  void SendHeartbeats(MonoTime now);
  void DetectIsolation(MonoTime now);
  void OnConfirmed(const HostId& host, std::uint64_t incarnation,
                   std::uint64_t sequence);
  void ExpireSuspects(MonoTime now);
  void ContactMesh(MonoTime now);
  void TryJoin(MonoTime now);
  std::optional<Endpoint> ChooseRejoinCandidate();
  std::vector<Endpoint> UnknownSeeds() const;
  const Endpoint& ChooseRandom(const std::vector<Endpoint>& candidates);
  void AppendPollers(const FailureDomain& domain,
                     std::vector<Endpoint>& endpoints) const;
  void SendToHost(const HostId& host, const MeshMessage& message);
  Milliseconds Jittered(Milliseconds period);

  Options options_;
  const RecordStore& store_;
  const ReplicatorSettings& settings_;
  Overlay overlay_;
  FailureDetector detector_;
  std::mt19937_64 random_;
  Backoff join_backoff_;
  bool overlay_stale_ = true;
  std::map<HostId, Neighbour> neighbours_;
  std::map<HostId, Suspect> suspects_;
  std::vector<Endpoint> join_candidates_;
  MonoTime next_contact_{};
  MonoTime last_received_{};  // any message of any host
  MonoTime next_isolation_probe_{};
  MonoTime isolated_until_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_MEMBERSHIP_H_

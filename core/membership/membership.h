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

/// Finds the mesh, keeps this host's place in the overlay, and marks hosts that
/// are lost.
///
/// Reads the host records and changes them only through the publish hook. Time
/// is passed in; one thread.
class Membership {
 public:
  struct Options {
    HostId self{};                  ///< this host
    Endpoint mesh{};                ///< where its mesh listens
    std::vector<Endpoint> seeds{};  ///< hosts to join through
    std::uint64_t random_seed = 1;  ///< of delays and choices
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< hands a message to the mesh
    std::function<Heartbeat(bool)>
        heartbeat{};  ///< makes a heartbeat; true if an answer is wanted
    std::function<void(const HostRecord&)>
        publish{};  ///< merges a record and spreads it
    std::function<void(const Endpoint&)>
        join{};  ///< exchanges all records with a host
  };

  /// @pre store and settings outlive this; all hooks are set.
  Membership(Options options, const RecordStore& store,
             const ReplicatorSettings& settings);

  /// Some host record changed: the overlay is worked out anew at the next tick.
  void HostsChanged() { stale_ = true; }

  /// Takes further hosts to join through, and tries them at once. The oldest
  /// are forgotten beyond a bounded number.
  void AddSeeds(const std::vector<Endpoint>& seeds, MonoTime now);

  /// Any message of a peer came.
  void Heard(const Endpoint& from, MonoTime now);

  /// A heartbeat came; answers it when the sender needs that.
  void OnHeartbeat(const Endpoint& from, const Heartbeat& heartbeat);

  /// Another watcher reported.
  void OnReport(const Endpoint& from, const SuspicionReport& report,
                MonoTime now);

  /// A host had no room for this one's join.
  void OnBusy(const SyncBusy& busy, MonoTime now);

  /// The mesh reached a peer or failed to.
  void OnPeerState(const Endpoint& peer, bool connected, MonoTime now);

  /// Sends heartbeats, joins, and follows suspicions. Call about ten times a
  /// second.
  void Tick(MonoTime now);

  /// Mesh endpoints of the neighbours.
  std::vector<Endpoint> neighbours() const;

  /// True when the endpoint is a neighbour's.
  bool IsNeighbour(const Endpoint& peer) const;

  /// Some live hosts, chosen at random, other than neighbours if possible.
  std::vector<Endpoint> SomeHosts(std::size_t count);

  /// True when this host is one of its failure domain's pollers.
  bool is_poller() const;

  const Overlay& overlay() const { return overlay_; }
  const FailureDetector& detector() const { return detector_; }

 private:
  struct Neighbour {
    Endpoint endpoint{};
    MonoTime next_heartbeat{};
    MonoTime heard{};
  };

  // A suspect that this host follows until it refutes or its time is over.
  struct Suspect {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    MonoTime since{};
  };

  void Refresh(MonoTime now);
  void SendHeartbeats(MonoTime now);
  void OnConfirmed(const HostId& host, std::uint64_t incarnation,
                   std::uint64_t sequence);
  void FollowSuspects(MonoTime now);
  void Contact(MonoTime now);
  void ContactForJoin(MonoTime now);
  std::optional<Endpoint> ChooseLost();
  std::vector<Endpoint> UnheardSeeds() const;
  const Endpoint& Choose(const std::vector<Endpoint>& candidates);
  void SendToHost(const HostId& host, const MeshMessage& message);
  Milliseconds Jittered(Milliseconds period);

  Options options_;
  const RecordStore& store_;
  const ReplicatorSettings& settings_;
  Overlay overlay_;
  FailureDetector detector_;
  std::mt19937_64 random_;
  Backoff join_backoff_;
  bool stale_ = true;
  std::map<HostId, Neighbour> neighbours_;
  std::map<HostId, Suspect> suspects_;
  std::vector<Endpoint> join_candidates_;
  MonoTime next_contact_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_MEMBERSHIP_H_

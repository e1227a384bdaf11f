#ifndef CAMPHORHILL_CORE_REPLICATION_CONFIG_SYNC_H_
#define CAMPHORHILL_CORE_REPLICATION_CONFIG_SYNC_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "core/config/config_snapshot.h"
#include "core/replication/mesh_message.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Gets the newest snapshot, from peers first and else from the platform, and
/// gives snapshots to peers.
///
/// The version in force only rises; a snapshot counts whole, with the digest of
/// its head, or not at all. Time is passed in; one thread.
class ConfigSync {
 public:
  struct Options {
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< hands a message to the mesh
    std::function<void(const ConfigHead&)>
        fetch_from_platform{};  ///< asks the platform for a snapshot
    std::function<void(const std::optional<Endpoint>&)>
        in_force{};  ///< a newer snapshot is in force; the peer that gave it
  };

  /// What was seen, for the dump. Immutable value type.
  struct Counters {
    std::uint64_t deltas_applied = 0;    ///< snapshots that came as a delta
    std::uint64_t wholes_applied = 0;    ///< snapshots that came whole
    std::uint64_t refused = 0;           ///< snapshots with a fault
    std::uint64_t stale = 0;             ///< snapshots that were not newer
    std::uint64_t platform_fetches = 0;  ///< snapshots asked of the platform
  };

  /// @pre settings outlive this; all hooks are set.
  ConfigSync(Options options, const ReplicatorSettings& settings);

  /// A peer names a head. Asks it for the snapshot when that is newer.
  void OnPeerHead(const Endpoint& from, const ConfigHead& head, MonoTime now);

  /// A peer asks for a snapshot.
  void OnRequest(const Endpoint& from, const SnapshotRequest& request,
                 MonoTime now);

  /// A peer gives a snapshot, asked for or not.
  void OnReply(const Endpoint& from, const SnapshotReply& reply, MonoTime now);

  /// The platform names a head. Asks it for the snapshot when that is newer.
  void OnPlatformHead(const ConfigHead& head, MonoTime now);

  /// The platform gave a snapshot, verified.
  void OnPlatformSnapshot(const ConfigSnapshot& snapshot);

  /// Asks again for what did not come.
  void Tick(MonoTime now);

  /// What tells a neighbour of the snapshot in force: a small delta, or the
  /// head alone. @pre a snapshot is in force.
  MeshMessage MakePush() const;

  /// Snapshot in force; null before the first.
  const ConfigSnapshotPtr& snapshot() const { return snapshot_; }

  /// Head in force; version 0 before the first.
  ConfigHead head() const;

  const Counters& counters() const { return counters_; }

 private:
  // The snapshot that is wanted and who was asked for it.
  struct Fetch {
    ConfigHead head{};
    std::deque<Endpoint> peers{};
    std::uint32_t attempts = 0;
    MonoTime asked{};
    bool from_platform = false;
  };

  void Want(const ConfigHead& head, MonoTime now);
  void AskNext(MonoTime now);
  void PutInForce(const ConfigSnapshot& snapshot,
                  const std::optional<Endpoint>& from);
  ConfigSnapshotPtr FindKept(const ConfigHead& head) const;
  std::optional<ConfigSnapshot> DecodeReply(const SnapshotReply& reply,
                                            bool& base_missing) const;

  Options options_;
  const ReplicatorSettings& settings_;
  ConfigSnapshotPtr snapshot_;
  std::deque<ConfigSnapshotPtr> kept_;
  std::optional<Fetch> fetch_;
  TokenBucket whole_admission_;
  std::string push_delta_;
  ConfigHead push_base_;
  Counters counters_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_CONFIG_SYNC_H_

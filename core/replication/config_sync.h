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

/// Fetches the newest configuration snapshot, from peers first and otherwise
/// from the platform, and serves snapshots to peers.
///
/// The current version only increases. A snapshot is accepted only as a whole
/// and if it matches the digest of its head. Takes the current time as a
/// parameter. Must be used from one thread.
class ConfigSync {
 public:
  struct Options {
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< sends a message to a peer over the mesh
    std::function<void(const ConfigHead&)>
        fetch_from_platform{};  ///< requests a snapshot from the platform
    std::function<void(const std::optional<Endpoint>&)>
        snapshot_changed{};  ///< called after a newer snapshot was installed,
                             ///< with the peer that sent it, if any
  };

  /// Counters for the state dump. Immutable value type.
  struct Counters {
    std::uint64_t deltas_applied = 0;  ///< snapshots received as a delta
    std::uint64_t full_snapshots_applied = 0;  ///< snapshots received in full
    std::uint64_t refused = 0;  ///< replies that were damaged or invalid
    std::uint64_t stale = 0;    ///< replies that were not newer
    std::uint64_t platform_fetches = 0;  ///< requests to the platform
  };

  /// @pre `settings` outlives this object; all callbacks are set.
  ConfigSync(Options options, const ReplicatorSettings& settings);

  /// Handles a head reported by a peer. Requests the snapshot if it is newer.
  void OnPeerHead(const Endpoint& from, const ConfigHead& head, MonoTime now);

  /// Handles a snapshot request of a peer.
  void OnRequest(const Endpoint& from, const SnapshotRequest& request,
                 MonoTime now);

  /// Handles a snapshot that a peer sent, whether requested or pushed.
  void OnReply(const Endpoint& from, const SnapshotReply& reply, MonoTime now);

  /// Handles a head announced by the platform. Requests the snapshot if it is
  /// newer.
  void OnPlatformHead(const ConfigHead& head, MonoTime now);

  /// Handles a verified snapshot from the platform.
  void OnPlatformSnapshot(const ConfigSnapshot& snapshot);

  /// Retries fetches that timed out.
  void Tick(MonoTime now);

  /// Message that announces the current snapshot to a neighbour: a delta if it
  /// is small, otherwise only the head. @pre there is a current snapshot.
  MeshMessage MakePush() const;

  /// Current snapshot; null before the first one.
  const ConfigSnapshotPtr& snapshot() const { return snapshot_; }

  /// Head of the current snapshot; version 0 before the first one.
  ConfigHead head() const;

  const Counters& counters() const { return counters_; }

 private:
  // A snapshot being fetched and the peers that are known to have it.
  struct Fetch {
    ConfigHead head{};
    std::deque<Endpoint> peers{};
    std::uint32_t attempts = 0;
    MonoTime last_request{};
    bool from_platform = false;
  };

  void EnsureFetch(const ConfigHead& head, MonoTime now);
  void SendNextRequest(MonoTime now);
  void Install(const ConfigSnapshot& snapshot,
               const std::optional<Endpoint>& from);
  ConfigSnapshotPtr FindRecent(const ConfigHead& head) const;
  std::optional<ConfigSnapshot> DecodeReply(const SnapshotReply& reply,
                                            bool& base_missing) const;

  Options options_;
  const ReplicatorSettings& settings_;
  ConfigSnapshotPtr snapshot_;
  std::deque<ConfigSnapshotPtr> recent_snapshots_;
  std::optional<Fetch> fetch_;
  TokenBucket full_snapshot_limiter_;
  std::string push_delta_;
  ConfigHead push_base_;
  Counters counters_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_CONFIG_SYNC_H_

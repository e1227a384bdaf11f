#ifndef CAMPHORHILL_CORE_REPLICATION_RECORD_REPAIR_H_
#define CAMPHORHILL_CORE_REPLICATION_RECORD_REPAIR_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "core/replication/mesh_message.h"
#include "core/replication/record_store.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Anti-entropy between two hosts: finds the records that differ and exchanges
/// only those.
///
/// The initiator sends its bucket fingerprints. The peer replies with its
/// entries in the buckets that differ. Then each side sends the records that
/// the other one lacks. Replies are rate-limited, so that a burst of joining
/// hosts is spread over time.
///
/// Takes the current time as a parameter. Must be used from one thread.
class RecordRepair {
 public:
  struct Options {
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< sends a message to a peer over the mesh
    std::function<ConfigHead()> head{};  ///< returns the current head
    std::function<std::vector<Endpoint>()>
        alternatives{};  ///< returns hosts to try while this one is busy
  };

  /// Counters for the state dump. Immutable value type.
  struct Counters {
    std::uint64_t started = 0;   ///< repairs started by this host
    std::uint64_t answered = 0;  ///< repairs of other hosts that were answered
    std::uint64_t refused = 0;   ///< repairs rejected by the rate limit
    std::uint64_t records = 0;   ///< records sent by repairs
  };

  /// @pre `store` and `settings` outlive this object; all callbacks are set.
  RecordRepair(Options options, const RecordStore& store,
               const ReplicatorSettings& settings);

  /// Starts a repair with a peer.
  void Start(const Endpoint& peer);

  /// Handles the start of a repair by a peer.
  void OnDigest(const Endpoint& from, const SyncDigest& digest, MonoTime now);

  /// Handles a peer's entries in the buckets that differ.
  void OnEntries(const Endpoint& from, const SyncEntries& entries);

  /// Handles a request for records.
  void OnWanted(const Endpoint& from, const SyncWanted& wanted);

  const Counters& counters() const { return counters_; }

 private:
  std::uint64_t DifferingBuckets(const SyncDigest& digest) const;
  void SendRecords(const Endpoint& to, const std::vector<std::uint64_t>& keys);

  Options options_;
  const RecordStore& store_;
  TokenBucket admission_;
  Counters counters_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_RECORD_REPAIR_H_

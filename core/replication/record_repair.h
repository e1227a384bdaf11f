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

/// Finds out where two hosts' records differ and exchanges just those.
///
/// One sends the fingerprints of its parts, the other what it holds in the
/// parts that differ; then both send what the other lacks. What a host answers
/// is admitted at a bounded rate, so that a herd that joins waits its turn.
class RecordRepair {
 public:
  struct Options {
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};                          ///< hands a message to the mesh
    std::function<ConfigHead()> head{};  ///< head in force
    std::function<std::vector<Endpoint>()>
        alternatives{};  ///< hosts to ask while this one is busy
  };

  /// What was seen, for the dump. Immutable value type.
  struct Counters {
    std::uint64_t started = 0;   ///< repairs that this host began
    std::uint64_t answered = 0;  ///< repairs of others that it answered
    std::uint64_t refused = 0;   ///< repairs that it had no room for
    std::uint64_t records = 0;   ///< records sent to repair others
  };

  /// @pre store and settings outlive this; all hooks are set.
  RecordRepair(Options options, const RecordStore& store,
               const ReplicatorSettings& settings);

  /// Begins a repair with a peer.
  void Start(const Endpoint& peer);

  /// A peer begins a repair.
  void OnDigest(const Endpoint& from, const SyncDigest& digest, MonoTime now);

  /// A peer says what it holds in the parts that differ.
  void OnEntries(const Endpoint& from, const SyncEntries& entries);

  /// A peer asks for records.
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

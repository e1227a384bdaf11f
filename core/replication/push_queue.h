#ifndef CAMPHORHILL_CORE_REPLICATION_PUSH_QUEUE_H_
#define CAMPHORHILL_CORE_REPLICATION_PUSH_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/replication/mesh_message.h"
#include "core/replication/record_store.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Batches changed records and pushes them to the neighbours, except to the
/// peer that a change came from.
///
/// The first change after a quiet period is sent at once; later ones are
/// batched for one period. Takes the current time as a parameter. Must be used
/// from one thread.
class PushQueue {
 public:
  struct Options {
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< sends a message to a peer over the mesh
    std::function<std::vector<Endpoint>()>
        neighbours{};                    ///< receivers of the pushes
    std::function<ConfigHead()> head{};  ///< returns the current head
  };

  /// @pre `store` and `settings` outlive this object; all callbacks are set.
  PushQueue(Options options, const RecordStore& store,
            const ReplicatorSettings& settings);

  /// Queues a changed record. `from` is the peer that sent the change, if any.
  void Add(const RecordKey& key, const std::optional<Endpoint>& from);

  /// Queues the version that a host serves. `from` is the peer that reported
  /// it, if any.
  void AddApplied(std::uint32_t incarnation_hash, ConfigVersion version,
                  const std::optional<Endpoint>& from);

  /// Marks a queued version as known to a peer, so that it is not pushed there.
  void MarkAppliedKnown(std::uint32_t incarnation_hash, ConfigVersion version,
                        const Endpoint& from);

  /// Pushes what is due. Call after each message and about ten times a second.
  void Flush(MonoTime now);

  /// Pushes all queued records immediately. Used by a host that is about to
  /// leave.
  void FlushRecords();

 private:
  using Source = std::optional<Endpoint>;

  struct Applied {
    ConfigVersion version = 0;
    std::set<Endpoint> known_by{};
  };

  void PushRecords();
  void PushApplied();

  Options options_;
  const RecordStore& store_;
  const ReplicatorSettings& settings_;
  std::map<RecordKey, Source> records_;
  std::map<std::uint32_t, Applied> applied_;
  MonoTime next_records_{};
  MonoTime next_applied_{};
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_PUSH_QUEUE_H_

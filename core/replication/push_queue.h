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

/// Gathers what changed and pushes it to the neighbours, except to the one that
/// it came from.
///
/// A change in a quiet time leaves at once; more that follow are gathered for a
/// period. Time is passed in; one thread.
class PushQueue {
 public:
  struct Options {
    std::function<void(const Endpoint&, const MeshMessage&)>
        send{};  ///< hands a message to the mesh
    std::function<std::vector<Endpoint>()> neighbours{};  ///< whom to push to
    std::function<ConfigHead()> head{};                   ///< head in force
  };

  /// @pre store and settings outlive this; all hooks are set.
  PushQueue(Options options, const RecordStore& store,
            const ReplicatorSettings& settings);

  /// A record changed; `from` gave the change, if a peer did.
  void Add(const RecordKey& key, const std::optional<Endpoint>& from);

  /// A host serves a version; `from` said so, if a peer did.
  void AddApplied(std::uint32_t incarnation_hash, ConfigVersion version,
                  const std::optional<Endpoint>& from);

  /// A peer knows already what waits to be pushed: it need not hear of it.
  void NoteApplied(std::uint32_t incarnation_hash, ConfigVersion version,
                   const Endpoint& from);

  /// Pushes what is due. Call after each message and about ten times a second.
  void Flush(MonoTime now);

  /// Pushes everything now, for a host that is about to go.
  void FlushNow();

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

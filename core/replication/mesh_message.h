#ifndef CAMPHORHILL_CORE_REPLICATION_MESH_MESSAGE_H_
#define CAMPHORHILL_CORE_REPLICATION_MESH_MESSAGE_H_

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "core/config/config_head.h"
#include "core/replication/host_record.h"
#include "core/replication/poison_record.h"
#include "core/replication/rollout_record.h"
#include "core/rollout/evidence_report.h"

namespace camphor {

/// New or changed records, pushed to overlay neighbours or sent as repair.
/// Immutable value type.
struct RecordsMessage {
  ConfigHead head{};                      ///< newest head that the sender knows
  std::vector<HostRecord> hosts{};        ///< host records
  std::vector<RolloutRecord> rollouts{};  ///< rollout records
  std::vector<PoisonRecord> poison{};     ///< poison records

  auto operator<=>(const RecordsMessage&) const = default;
};

/// Asks for the snapshot of a head. Immutable value type.
struct SnapshotRequest {
  ConfigHead head{};  ///< snapshot that is wanted
  ConfigHead base{};  ///< snapshot that the asker holds; version 0 for none

  auto operator<=>(const SnapshotRequest&) const = default;
};

/// Brings a snapshot, whole or as a delta. Immutable value type.
struct SnapshotReply {
  ConfigHead head{};  ///< snapshot that this gives
  ConfigHead
      base{};  ///< what the delta starts from; version 0 when `bytes` is whole
  std::string bytes{};  ///< encoded snapshot or delta

  auto operator<=>(const SnapshotReply&) const = default;
};

/// One typed message between the meshes of two hosts.
using MeshMessage = std::variant<RecordsMessage, SnapshotRequest, SnapshotReply,
                                 EvidenceReport>;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_REPLICATION_MESH_MESSAGE_H_

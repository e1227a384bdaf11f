#ifndef CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_TREE_H_
#define CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_TREE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Maximum number of hosts that report directly to one host.
inline constexpr std::size_t kEvidenceFanIn = 16;

/// Aggregation tree of a rollout's evidence. The root owns the rollout.
///
/// The live hosts, ordered by rendezvous weight, form a tree: the first host
/// owns the rollout and every other host reports to its parent. Hosts with the
/// same view of the mesh derive the same tree. While views differ, a report may
/// take another path or two hosts may act as owner; this is safe because
/// rollout records are merged. Immutable value type.
class EvidenceTree {
 public:
  EvidenceTree() = default;

  /// Derives the tree of a rollout. Thread-safe.
  EvidenceTree(const RolloutId& rollout, std::vector<HostId> live_hosts);

  /// Returns the host that decides about the rollout, or std::nullopt if no
  /// host is alive.
  std::optional<HostId> owner() const;

  /// Returns the host that `host` reports to, or std::nullopt if `host` is the
  /// owner or is not alive.
  std::optional<HostId> FindParent(const HostId& host) const;

  auto operator<=>(const EvidenceTree&) const = default;

 private:
  std::vector<HostId> order_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_TREE_H_

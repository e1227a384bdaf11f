#ifndef CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_TREE_H_
#define CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_TREE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Hosts that report to one host directly, at most.
inline constexpr std::size_t kEvidenceFanIn = 16;

/// Which host owns a rollout, and on which way evidence reaches it.
///
/// Live hosts in the order of their rendezvous weight form a tree: the first
/// one owns the rollout, each other one reports to its parent. Hosts with the
/// same view derive the same tree; while views differ, a report may take
/// another way or find two owners, which merging makes harmless. Immutable
/// value type.
class EvidenceTree {
 public:
  EvidenceTree() = default;

  /// Derives the tree of a rollout. Thread safety: any thread.
  EvidenceTree(const RolloutId& rollout, std::vector<HostId> live_hosts);

  /// The host that decides; nothing when no host is alive.
  std::optional<HostId> owner() const;

  /// The host that `host` reports to; nothing for the owner and for hosts that
  /// are not alive.
  std::optional<HostId> ParentOf(const HostId& host) const;

  auto operator<=>(const EvidenceTree&) const = default;

 private:
  std::vector<HostId> order_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_TREE_H_

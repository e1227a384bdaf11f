#include "core/rollout/evidence_tree.h"

#include <algorithm>
#include <utility>

#include "core/rollout/rendezvous.h"

namespace camphor {

EvidenceTree::EvidenceTree(const RolloutId& rollout,
                           std::vector<HostId> live_hosts)
    : order_(std::move(live_hosts)) {
  const auto rank = [&rollout](const HostId& host) {
    return std::pair(RendezvousWeight(rollout.value(), host.value()),
                     host.value());
  };
  std::ranges::sort(order_, std::greater<>(), rank);
}

std::optional<HostId> EvidenceTree::owner() const {
  if (order_.empty()) return std::nullopt;
  return order_.front();
}

std::optional<HostId> EvidenceTree::FindParent(const HostId& host) const {
  const auto found = std::ranges::find(order_, host);
  if (found == order_.end() || found == order_.begin()) return std::nullopt;
  const auto index = static_cast<std::size_t>(found - order_.begin());
  return order_[(index - 1) / kEvidenceFanIn];
}

}  // namespace camphor

#include "core/rollout/evidence_stream.h"

#include <algorithm>

namespace camphor {

void EvidenceStream::Add(const TargetId& target, const LogRatios& ratios) {
  LogRatios& sums = by_target_[target];
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    sums[size] += ratios[size];
    total_[size] += ratios[size];
  }
}

void EvidenceStream::EndBlock() {
  for (std::size_t size = 0; size < total_.size(); ++size) {
    if (total_[size] > 0) continue;
    total_[size] = 0;
    for (auto& [target, sums] : by_target_) sums[size] = 0;
  }
}

void EvidenceStream::Forget(const TargetId& target) {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) return;
  for (std::size_t size = 0; size < total_.size(); ++size) {
    total_[size] -= found->second[size];
  }
  by_target_.erase(found);
  EndBlock();
}

double EvidenceStream::Strength(bool lone) const {
  double strength = 0;
  for (std::size_t size = 0; size < total_.size(); ++size) {
    double largest = 0;
    for (const auto& [target, sums] : by_target_) {
      largest = std::max(largest, sums[size]);
    }
    strength = std::max(strength, lone ? total_[size] : total_[size] - largest);
  }
  return strength;
}

}  // namespace camphor

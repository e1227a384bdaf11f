#include "core/rollout/evidence_stream.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

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

double EvidenceStream::Strength(const StrengthRule& rule) const {
  if (rule.lone) return std::ranges::max(total_);
  constexpr std::size_t kFewestForLimit = 3;
  const std::size_t targets = by_target_.size();
  const std::size_t possible = std::max(targets, rule.version_targets);
  const auto outliers = std::max<std::size_t>(
      rule.least_outliers,
      static_cast<std::size_t>(
          std::lround(rule.outlier_share * static_cast<double>(targets))));
  const bool limited = possible >= kFewestForLimit && rule.target_limit > 0;
  double strength = 0;
  std::vector<double> parts;
  for (std::size_t size = 0; size < total_.size(); ++size) {
    if (total_[size] <= strength) continue;
    parts.clear();
    for (const auto& [target, sums] : by_target_) {
      parts.push_back(limited ? std::min(sums[size], rule.target_limit)
                              : sums[size]);
    }
    std::ranges::sort(parts);
    if (parts.size() <= outliers) continue;
    const auto end = parts.end() - static_cast<std::ptrdiff_t>(outliers);
    strength = std::max(strength, std::accumulate(parts.begin(), end, 0.0));
  }
  return strength;
}

}  // namespace camphor

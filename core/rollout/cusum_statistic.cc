#include "core/rollout/cusum_statistic.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace camphor {

void CusumStatistic::Add(const TargetId& target,
                         const LogLikelihoodRatios& ratios) {
  LogLikelihoodRatios& sums = by_target_[target];
  for (std::size_t size = 0; size < ratios.size(); ++size) {
    sums[size] += ratios[size];
    total_[size] += ratios[size];
  }
}

void CusumStatistic::EndBlock() {
  for (std::size_t size = 0; size < total_.size(); ++size) {
    if (total_[size] > 0) continue;
    total_[size] = 0;
    for (auto& [target, sums] : by_target_) sums[size] = 0;
  }
}

void CusumStatistic::RemoveTarget(const TargetId& target) {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) return;
  for (std::size_t size = 0; size < total_.size(); ++size) {
    total_[size] -= found->second[size];
  }
  by_target_.erase(found);
  EndBlock();
}

double CusumStatistic::Value(const AggregationRule& rule) const {
  if (rule.include_all_targets) return std::ranges::max(total_);
  constexpr std::size_t kMinTargetsForLimit = 3;
  const std::size_t targets = by_target_.size();
  const std::size_t possible = std::max(targets, rule.version_target_count);
  const auto outliers = std::max<std::size_t>(
      rule.min_outliers,
      static_cast<std::size_t>(
          std::lround(rule.outlier_fraction * static_cast<double>(targets))));
  const bool limited =
      possible >= kMinTargetsForLimit && rule.max_target_evidence > 0;
  double value = 0;
  std::vector<double> contributions;
  for (std::size_t size = 0; size < total_.size(); ++size) {
    if (total_[size] <= value) continue;
    contributions.clear();
    for (const auto& [target, sums] : by_target_) {
      contributions.push_back(
          limited ? std::min(sums[size], rule.max_target_evidence)
                  : sums[size]);
    }
    std::ranges::sort(contributions);
    if (contributions.size() <= outliers) continue;
    const auto end =
        contributions.end() - static_cast<std::ptrdiff_t>(outliers);
    value = std::max(value, std::accumulate(contributions.begin(), end, 0.0));
  }
  return value;
}

}  // namespace camphor

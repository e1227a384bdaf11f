#include "core/replication/rollout_record.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphor {

RolloutRecord RolloutRecord::Merge(const RolloutRecord& left,
                                   const RolloutRecord& right) {
  assert(left.id == right.id);
  const auto order = [](const RolloutRecord& record) {
    return std::tie(record.recorded, record.stage, record.share_ppm,
                    record.canary_targets, record.route_shares,
                    record.stage_since, record.reason);
  };
  RolloutRecord merged = order(left) < order(right) ? right : left;
  merged.hurry = left.hurry || right.hurry;
  const bool both =
      left.ordered_at > WallTime{} && right.ordered_at > WallTime{};
  merged.ordered_at = both ? std::min(left.ordered_at, right.ordered_at)
                           : std::max(left.ordered_at, right.ordered_at);
  return merged;
}

}  // namespace camphor

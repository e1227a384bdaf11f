#include "core/replication/rollout_record.h"

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
  return merged;
}

}  // namespace camphor

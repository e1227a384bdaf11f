#ifndef CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_VIEW_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_VIEW_H_

#include <boost/json/fwd.hpp>
#include <string_view>
#include <vector>

#include "core/replication/rollout_record.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// The name that operators read: "pending", "canary", "ramp", "bake", "done" or
/// "rolled_back". Thread safety: any thread.
std::string_view RolloutStageName(RolloutStage stage);

/// A record for operators: id, stage, share, reason. Thread safety: any thread.
boost::json::object ViewOf(const RolloutRecord& record);

/// Evidence for operators: one row for each route and signal that has
/// requests. Thread safety: any thread.
boost::json::array ViewOf(const std::vector<EvidenceView>& views);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_VIEW_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_VIEW_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_VIEW_H_

#include <boost/json/fwd.hpp>
#include <string_view>
#include <vector>

#include "core/replication/rollout_record.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// Returns the stage's name for operators: "pending", "canary", "ramp", "bake",
/// "done" or "rolled_back". Thread-safe.
std::string_view RolloutStageName(RolloutStage stage);

/// Returns a record as JSON for operators: id, stage, share, reason.
/// Thread-safe.
boost::json::object RecordToJson(const RolloutRecord& record);

/// Returns the evidence as JSON for operators: one row for each route and
/// signal that has requests. Thread-safe.
boost::json::array EvidenceToJson(const std::vector<EvidenceView>& views);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_VIEW_H_

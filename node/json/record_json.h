#ifndef CAMPHORHILL_NODE_JSON_RECORD_JSON_H_
#define CAMPHORHILL_NODE_JSON_RECORD_JSON_H_

#include <boost/json/fwd.hpp>
#include <optional>
#include <string_view>

#include "core/replication/host_record.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// Names as the admin API writes them. Thread safety: any thread.
std::string_view HostStatusName(HostStatus status);
std::string_view TargetStatusName(TargetStatus status);

/// Replicated state records as the admin API and the platform's rows write
/// them. Thread safety: any thread.
boost::json::object ToJson(const TargetInfo& target);
boost::json::object ToJson(const HostRecord& host);
boost::json::object ToJson(const RolloutRecord& rollout);

/// Reads what ToJson writes. Returns nothing when the text is not of that form.
/// Thread safety: any thread.
std::optional<RolloutRecord> ParseRolloutRecord(std::string_view text);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_JSON_RECORD_JSON_H_

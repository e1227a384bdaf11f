#ifndef CAMPHORHILL_NODE_JSON_RECORD_JSON_H_
#define CAMPHORHILL_NODE_JSON_RECORD_JSON_H_

#include <boost/json/fwd.hpp>
#include <optional>
#include <string_view>

#include "core/replication/host_record.h"
#include "core/replication/rollout_record.h"

namespace camphor {

/// Status names used by the admin API. Thread-safe.
std::string_view HostStatusName(HostStatus status);
std::string_view TargetStatusName(TargetStatus status);

/// Convert replicated records to the JSON of the admin API and the platform
/// tables. Thread-safe.
boost::json::object ToJson(const TargetInfo& target);
boost::json::object ToJson(const HostRecord& host);
boost::json::object ToJson(const RolloutRecord& rollout);

/// Parses the output of ToJson(). Returns an empty optional if the text is
/// invalid. Thread-safe.
std::optional<RolloutRecord> ParseRolloutRecord(std::string_view text);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_JSON_RECORD_JSON_H_

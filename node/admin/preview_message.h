#ifndef CAMPHORHILL_NODE_ADMIN_PREVIEW_MESSAGE_H_
#define CAMPHORHILL_NODE_ADMIN_PREVIEW_MESSAGE_H_

#include <boost/json/fwd.hpp>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "core/base/json_fields.h"
#include "core/quota/quota_allocator.h"
#include "core/replication/host_record.h"
#include "core/replication/rollout_record.h"
#include "proxy/placement_preview.h"

namespace camphor {

/// Parses the body of POST /v1/preview: {"method", "host", "path", "headers"}.
/// The value of a header is a string, or a list of strings if it is repeated.
/// Returns std::nullopt and adds to `errors` if it is invalid. The errors hold
/// no value of a header, since it may be a key. Thread-safe.
std::optional<PreviewRequest> ParsePreviewRequest(
    std::string_view body, std::vector<FieldError>& errors);

/// What the decisions thread knows about a preview. Holds references that must
/// outlive the call it is passed to.
struct PreviewSurroundings {
  HostId host;                                ///< this host
  FailureDomain domain;                       ///< failure domain of this host
  const std::map<HostId, HostRecord>& hosts;  ///< as known to this host
  const std::map<RolloutId, RolloutRecord>&
      rollouts;  ///< as known to this host
  std::optional<Milliseconds>
      config_age{};    ///< of the knowledge of the configuration
  HostId allocator{};  ///< of the quota of the request's team
  std::optional<QuotaAllocator::TeamState>
      allocated{};  ///< state of that quota over all hosts, if this host is the
                    ///< allocator
};

/// Converts a preview to the JSON of the admin API. Values that are not known
/// are null. @pre preview.routing is not null. Thread-safe.
boost::json::object PreviewView(const PlacementPreview& preview,
                                const PreviewSurroundings& surroundings);

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_PREVIEW_MESSAGE_H_

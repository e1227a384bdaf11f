#ifndef CAMPHORHILL_NODE_ADMIN_ADMIN_ROUTER_H_
#define CAMPHORHILL_NODE_ADMIN_ADMIN_ROUTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node/admin/admin_message.h"

namespace camphor {

/// Access level of a resource of the admin API.
enum class AdminAccess : std::uint8_t {
  kAnyone,    ///< no restriction; for reads
  kLoopback,  ///< requests from this host; for targets
  kOperator,  ///< requires the operator token; for edits
};

/// Dispatches requests to handlers by method and path and enforces the access
/// level.
class AdminRouter {
 public:
  /// One request with the captures of its pattern's wildcards.
  struct Call {
    const AdminRequest& request;        ///< the request
    std::vector<std::string> captures;  ///< one per wildcard
  };

  using Handler = std::function<void(const Call&, AdminRespond)>;

  /// @pre `operator_token` is not empty.
  explicit AdminRouter(std::string_view operator_token);

  /// Adds a resource. In the pattern, `{}` matches one segment and `{*}` one or
  /// more. Must be called before the first Route().
  void Add(std::string method, std::string_view pattern, AdminAccess access,
           Handler handler);

  /// Runs the matching handler, or responds with 401, 403, 404 or 405.
  /// Thread-safe once all resources are added.
  void Route(const AdminRequest& request, const AdminRespond& respond) const;

 private:
  struct Resource {
    std::string method;                 ///< HTTP method
    std::vector<std::string> segments;  ///< pattern split at slashes
    AdminAccess access;                 ///< required access level
    Handler handler;                    ///< handles matching requests
  };

  std::optional<AdminResponse> CheckAccess(const Resource& resource,
                                           const AdminRequest& request) const;
  bool HasOperatorToken(const AdminRequest& request) const;

  std::string
      expected_digest_;  ///< digest of the operator's Authorization header
  std::vector<Resource> resources_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_ROUTER_H_

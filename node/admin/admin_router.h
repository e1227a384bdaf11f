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

/// Who may call a resource of the admin API.
enum class AdminAccess : std::uint8_t {
  kAnyone,    ///< reads
  kLoopback,  ///< targets of this host
  kOperator,  ///< edits: needs the operator's token
};

/// Finds the handler of a request by method and path, and checks that the
/// peer may call it.
class AdminRouter {
 public:
  /// One request with what the wildcards of its pattern matched.
  struct Call {
    const AdminRequest& request;        ///< whole request
    std::vector<std::string> captures;  ///< one for each wildcard
  };

  using Handler = std::function<void(const Call&, AdminRespond)>;

  /// @pre operator_token is not empty.
  explicit AdminRouter(std::string_view operator_token);

  /// Adds a resource. In the pattern, `{}` matches one segment and `{*}` one or
  /// more. @pre before the first Route.
  void Add(std::string method, std::string_view pattern, AdminAccess access,
           Handler handler);

  /// Runs the handler, or answers 401, 403, 404 or 405. Thread safety: any
  /// thread once every resource is added.
  void Route(const AdminRequest& request, const AdminRespond& respond) const;

 private:
  struct Resource {
    std::string method;                 ///< HTTP method
    std::vector<std::string> segments;  ///< pattern, split at slashes
    AdminAccess access;                 ///< who may call it
    Handler handler;                    ///< answers it
  };

  std::optional<AdminResponse> Refuse(const Resource& resource,
                                      const AdminRequest& request) const;
  bool HasToken(const AdminRequest& request) const;

  std::string expected_;  ///< digest of the Authorization header that may edit
  std::vector<Resource> resources_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_ROUTER_H_

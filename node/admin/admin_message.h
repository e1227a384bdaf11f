#ifndef CAMPHORHILL_NODE_ADMIN_ADMIN_MESSAGE_H_
#define CAMPHORHILL_NODE_ADMIN_ADMIN_MESSAGE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/json_fields.h"

namespace camphor {

/// One request to the admin listener.
struct AdminRequest {
  std::string method;          ///< HTTP method, such as "GET"
  std::string path;            ///< decoded path without the query
  std::string body;            ///< complete body
  std::string authorization;   ///< Authorization header
  std::string if_match;        ///< If-Match header
  std::string operation_id;    ///< Operation-Id header
  bool from_loopback = false;  ///< the request comes from this host
};

/// The response to an AdminRequest.
struct AdminResponse {
  unsigned status = 200;                          ///< HTTP status code
  std::string content_type = "application/json";  ///< Content-Type header
  std::string body{};                             ///< complete body
  std::string etag{};                             ///< ETag header, if any
  std::string allow{};                            ///< Allow header, if any
};

/// Sends the response to one request. Must be called exactly once, from any
/// thread.
using AdminRespond = std::function<void(AdminResponse)>;

/// Builds an error response with the body
/// {"error": {"kind", "message", "fields"}}. Thread-safe.
AdminResponse AdminError(unsigned status, std::string_view kind,
                         std::string_view message,
                         const std::vector<FieldError>& fields = {});

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_MESSAGE_H_

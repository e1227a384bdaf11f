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
  std::string method;          ///< "GET", "PUT" and so on
  std::string path;            ///< decoded, without the query
  std::string body;            ///< whole body
  std::string authorization;   ///< Authorization header
  std::string if_match;        ///< If-Match header
  std::string operation_id;    ///< Operation-Id header
  bool from_loopback = false;  ///< the peer is on this host
};

/// The answer to it.
struct AdminResponse {
  unsigned status = 200;                          ///< HTTP status code
  std::string content_type = "application/json";  ///< of the body
  std::string body{};                             ///< whole body
  std::string etag{};                             ///< ETag header, if any
  std::string allow{};                            ///< Allow header, if any
};

/// Answers one request; may be called from any thread, once.
using AdminRespond = std::function<void(AdminResponse)>;

/// An error as {"error": {"kind", "message", "fields"}}. Thread safety: any
/// thread.
AdminResponse AdminError(unsigned status, std::string_view kind,
                         std::string_view message,
                         const std::vector<FieldError>& fields = {});

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_ADMIN_ADMIN_MESSAGE_H_

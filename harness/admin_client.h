#ifndef CAMPHORHILL_HARNESS_ADMIN_CLIENT_H_
#define CAMPHORHILL_HARNESS_ADMIN_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/base/endpoint.h"
#include "stand_ins/http/http_connection.h"

namespace camphor {

/// Client of the admin API of one node, for tests.
class AdminClient {
 public:
  /// Connects on the first call.
  AdminClient(Endpoint admin, std::string operator_token);

  /// Result of an edit of the tables. Immutable value type.
  struct EditResult {
    int status = 0;             ///< HTTP status; 0 without a response
    std::uint64_t version = 0;  ///< version created, or the current version
    std::string body{};         ///< response body, or the connection error

    auto operator<=>(const EditResult&) const = default;
  };

  /// Sends a GET request. Returns the body if the status is 200, otherwise
  /// nullopt with last_reason() set. Must be called from one thread.
  std::optional<std::string> Get(const std::string& path,
                                 Milliseconds timeout = Milliseconds(2000));

  /// Replaces the tables, based on version `base_version`. Must be called from
  /// one thread.
  EditResult PutConfig(const std::string& tables, std::uint64_t base_version,
                       Milliseconds timeout = Milliseconds(10000));

  /// Sends a POST request without a body, such as a drain or an abort. Returns
  /// the HTTP status, or 0 without a response. Must be called from one thread.
  int Post(const std::string& path);

  /// Returns the version that the node serves, or nullopt if the request fails.
  /// Must be called from one thread.
  std::optional<std::uint64_t> Version();

  /// True if the node reports that it is ready. Must be called from one thread.
  bool Ready();

  /// Error of the last call that failed. Must be called from one thread.
  const std::string& last_reason() const { return last_reason_; }

 private:
  HttpConnection connection_;
  std::string operator_token_;
  std::string last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_ADMIN_CLIENT_H_

#ifndef CAMPHORHILL_HARNESS_ADMIN_CLIENT_H_
#define CAMPHORHILL_HARNESS_ADMIN_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/base/endpoint.h"
#include "stand_ins/http/http_connection.h"

namespace camphor {

/// Calls the admin API of one node, as an operator or a test does.
class AdminClient {
 public:
  /// @pre none; connects on the first call.
  AdminClient(Endpoint admin, std::string operator_token);

  /// What became of an edit of the tables. Immutable value type.
  struct EditResult {
    int status = 0;             ///< HTTP status; 0 when no answer came
    std::uint64_t version = 0;  ///< version that it made, or that stands
    std::string body{};         ///< the whole answer or the last reason

    auto operator<=>(const EditResult&) const = default;
  };

  /// Reads a path. Returns the body of a 200 answer. Thread safety: one thread.
  std::optional<std::string> Get(const std::string& path,
                                 Milliseconds timeout = Milliseconds(2000));

  /// Edits the tables against the given base version. Thread safety: one
  /// thread.
  EditResult PutConfig(const std::string& tables, std::uint64_t base_version,
                       Milliseconds timeout = Milliseconds(10000));

  /// Sends a command without a body, such as a drain or an abort. Returns the
  /// status, 0 without an answer. Thread safety: one thread.
  int Post(const std::string& path);

  /// Version that the node serves; nothing when it can not be asked. Thread
  /// safety: one thread.
  std::optional<std::uint64_t> Version();

  /// True when the node says that it is ready. Thread safety: one thread.
  bool Ready();

  /// Why the last call failed. Thread safety: one thread.
  const std::string& last_reason() const { return last_reason_; }

 private:
  HttpConnection connection_;
  std::string operator_token_;
  std::string last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_ADMIN_CLIENT_H_

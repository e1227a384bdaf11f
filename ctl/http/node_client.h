#ifndef CAMPHORHILL_CTL_HTTP_NODE_CLIENT_H_
#define CAMPHORHILL_CTL_HTTP_NODE_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// A request to the admin API. Immutable value type.
struct NodeRequest {
  std::string method = "GET";  ///< HTTP method
  std::string path;            ///< path, percent-encoded
  std::string body{};          ///< request body
  std::string if_match{};      ///< If-Match header, if any
  std::string operation_id{};  ///< Operation-Id header, if any
};

/// A response of the admin API. Immutable value type.
struct NodeResponse {
  unsigned status = 0;  ///< HTTP status code
  std::string body{};   ///< response body
  Endpoint node{};      ///< node that answered
};

/// Sends admin API requests to the first node that answers.
///
/// Nodes are tried in order, starting with the node that answered last. Edits
/// carry an operation id, so they can safely be retried on another node.
class NodeClient {
 public:
  struct Options {
    std::vector<Endpoint> nodes{};  ///< admin addresses to try
    std::string token{};            ///< operator token; empty: none is sent
    Milliseconds timeout{
        10000};  ///< per connect, write or read step of a request to one node
  };

  /// @pre options.nodes is not empty.
  explicit NodeClient(Options options);

  /// Sends a request. Returns nullopt and sets last_reason() if no node
  /// answered. Must be called from one thread.
  std::optional<NodeResponse> Send(const NodeRequest& request);

  /// Connection errors of the last Send(), one for each node that failed.
  const std::string& last_reason() const { return last_reason_; }

  /// True if a node may have received the last request but its response was
  /// lost. Must be called from one thread.
  bool outcome_unknown() const { return outcome_unknown_; }

 private:
  std::optional<NodeResponse> SendTo(const Endpoint& node,
                                     const NodeRequest& request);

  Options options_;
  std::size_t preferred_ = 0;  ///< index of the node that answered last
  std::string last_reason_;
  bool outcome_unknown_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_HTTP_NODE_CLIENT_H_

#ifndef CAMPHORHILL_CTL_HTTP_NODE_CLIENT_H_
#define CAMPHORHILL_CTL_HTTP_NODE_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// One call of the admin API. Immutable value type.
struct NodeRequest {
  std::string method = "GET";  ///< HTTP method
  std::string path;            ///< path, percent-encoded
  std::string body{};          ///< whole body
  std::string if_match{};      ///< If-Match header, if any
  std::string operation_id{};  ///< Operation-Id header, if any
};

/// The answer to it. Immutable value type.
struct NodeResponse {
  unsigned status = 0;  ///< HTTP status code
  std::string body{};   ///< whole body
  Endpoint node{};      ///< node that answered
};

/// Calls the admin API of the first node that answers.
///
/// Nodes are tried in turn, each call beginning with the one that answered
/// last. An edit carries an operation id, so that it may be sent again to
/// another node.
class NodeClient {
 public:
  struct Options {
    std::vector<Endpoint> nodes{};  ///< admin listeners to try
    std::string token{};            ///< operator's token; empty sends none
    Milliseconds timeout{10000};    ///< for one call of one node
  };

  /// @pre options.nodes is not empty.
  explicit NodeClient(Options options);

  /// Sends a request. Returns nothing, with last_reason set, when no node
  /// answered. Thread safety: one thread.
  std::optional<NodeResponse> Send(const NodeRequest& request);

  /// Why the last call returned nothing: a sentence for each node.
  const std::string& last_reason() const { return last_reason_; }

  /// True when a node may have got a request whose answer was lost. Thread
  /// safety: one thread.
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

#ifndef CAMPHORHILL_PROXY_PROXY_LIMIT_H_
#define CAMPHORHILL_PROXY_PROXY_LIMIT_H_

#include <cstdint>
#include <string_view>

namespace camphor {

/// A limit of a proxy or of the admin listener that took effect.
enum class ProxyLimit : std::uint8_t {
  kBuffersRefused,      ///< a request or a connection was refused for lack of
                        ///< buffers
  kBuffersYielded,      ///< a connection had to give its buffers to others
  kConnectionsYielded,  ///< a connection was closed in favour of a new one
  kConnectionsRefused,  ///< a new connection was refused
  kOverloaded,          ///< a new connection was refused because the thread has
                        ///< too little processor time
  kHeaderFields,        ///< a request has too many header fields
  kHandshakeLate,       ///< a connection to the forward listener was closed
                        ///< because its peer did not authenticate in time
  kHandshakeDisplaced,  ///< the same, in favour of a newer connection
};

/// Returns a sentence for the log. Thread-safe.
constexpr std::string_view ProxyLimitText(ProxyLimit limit) {
  switch (limit) {
    case ProxyLimit::kBuffersRefused:
      return "request or connection refused: no buffers are free";
    case ProxyLimit::kBuffersYielded:
      return "connection that waited for its peer gave up its buffers";
    case ProxyLimit::kConnectionsYielded:
      return "connection that waited for its peer closed for a new one";
    case ProxyLimit::kConnectionsRefused:
      return "new connection refused: too many are open";
    case ProxyLimit::kOverloaded:
      return "new connection refused: the host is behind";
    case ProxyLimit::kHeaderFields:
      return "request refused: too many header fields";
    case ProxyLimit::kHandshakeLate:
      return "forward connection closed: its peer did not authenticate in time";
    case ProxyLimit::kHandshakeDisplaced:
      return "forward connection of an unauthenticated peer closed for a newer "
             "one";
  }
  return "";
}

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_LIMIT_H_

#ifndef CAMPHORHILL_PROXY_CONNECTION_H_
#define CAMPHORHILL_PROXY_CONNECTION_H_

#include <cstddef>
#include <string>

#include "core/base/time.h"
#include "proxy/asio_types.h"

namespace camphor {

/// A connection to a target or to another host's proxy. It carries one request
/// at a time. Must be used from one thread.
struct Connection {
  static constexpr std::size_t kMaxBufferedBytes = 128 * 1024;

  explicit Connection(const asio::any_io_executor& executor)
      : socket(executor) {}

  /// Returns true when the connection is open and the peer has sent no
  /// unexpected data.
  bool IsQuiet();

  /// Closes the connection; pending operations complete with an error.
  void Close();

  tcp::socket socket;
  /// Bytes received after the last response. Limited, since a faulty peer may
  /// send a header or a chunk extension that never ends.
  beast::flat_buffer buffer{kMaxBufferedBytes};
  std::string refused_request_id{};  ///< request that the peer refused last on
                                     ///< this connection
  bool used = false;  ///< it carried a request before the current one
  std::string proof;  ///< mesh key proof, sent with the first request
  MonoTime usable_until =
      MonoTime::max();    ///< the peer may close an idle connection after this
  MonoTime idle_since{};  ///< when the last request ended
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_CONNECTION_H_

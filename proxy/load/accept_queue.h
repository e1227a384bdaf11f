#ifndef CAMPHORHILL_PROXY_LOAD_ACCEPT_QUEUE_H_
#define CAMPHORHILL_PROXY_LOAD_ACCEPT_QUEUE_H_

#include <utility>

#include "proxy/asio_types.h"

namespace camphor {

/// Connections taken from a listener before the other sockets of the thread
/// have their turn.
inline constexpr unsigned kAcceptBatch = 256;

/// Accepts the connections that wait on a listener, beginning with `first`,
/// which was accepted already, and passes them to `admit`. Without this, a busy
/// thread accepts one connection in each turn of its loop, and the queue
/// outlives its callers. Returns without error if none waits any more or
/// kAcceptBatch were taken.
///
/// Must be used from the thread of the acceptor.
/// @pre `acceptor` is non-blocking.
template <typename Admit>
beast::error_code AcceptWaiting(tcp::acceptor& acceptor, tcp::socket first,
                                const Admit& admit) {
  beast::error_code error;
  tcp::socket socket = std::move(first);
  for (unsigned taken = 1;; ++taken) {
    admit(std::move(socket));
    if (taken >= kAcceptBatch || !acceptor.is_open()) return {};
    socket = acceptor.accept(error);
    if (error == asio::error::would_block) return {};
    if (error) return error;
  }
}

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_ACCEPT_QUEUE_H_

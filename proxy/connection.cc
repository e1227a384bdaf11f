#include "proxy/connection.h"

#include <sys/socket.h>

#include <cerrno>

namespace camphor {

bool Connection::IsQuiet() {
  if (!socket.is_open() || buffer.size() > 0) return false;
  char byte = 0;
  const ssize_t peeked =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::Close() {
  beast::error_code ignored;
  socket.close(ignored);
}

}  // namespace camphor

#include "proxy/load/socket_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace camphor {
namespace {

std::optional<tcp_info> ReadInfo(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return std::nullopt;
  return info;
}

}  // namespace

bool IsClosedByPeer(int socket) {
  pollfd state{.fd = socket, .events = POLLRDHUP};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<Milliseconds> TimeSinceData(int socket) {
  const std::optional<tcp_info> info = ReadInfo(socket);
  if (!info) return std::nullopt;
  return Milliseconds(info->tcpi_last_data_recv);
}

std::optional<std::uint32_t> AcceptQueueLength(int listener) {
  const std::optional<tcp_info> info = ReadInfo(listener);
  if (!info || info->tcpi_state != TCP_LISTEN) return std::nullopt;
  // On a listening socket this field holds the length of the accept queue.
  return info->tcpi_unacked;
}

}  // namespace camphor

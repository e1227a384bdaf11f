#include "harness/caller_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include "core/base/time.h"

namespace camphor {
namespace {

constexpr Milliseconds kPause{10};
/// The crowd has finished when no connection takes any bytes for this long.
constexpr Milliseconds kQuiet{500};

}  // namespace

CallerCrowd::CallerCrowd(Options options) : options_(std::move(options)) {}

CallerCrowd::~CallerCrowd() {
  for (const Member& member : members_) {
    if (member.socket >= 0) close(member.socket);
  }
}

void CallerCrowd::Play() {
  members_.resize(options_.connections);
  for (Member& member : members_) Connect(member);
  MonoTime progress = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - progress < kQuiet) {
    bool sent = false;
    for (Member& member : members_) sent = Send(member) || sent;
    if (sent) {
      progress = std::chrono::steady_clock::now();
    } else {
      std::this_thread::sleep_for(kPause);
    }
  }
}

bool CallerCrowd::Connect(Member& member) const {
  member.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (member.socket < 0) return false;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options_.to.port);
  const int no_delay = 1;
  setsockopt(member.socket, IPPROTO_TCP, TCP_NODELAY, &no_delay,
             sizeof(no_delay));
  if (inet_pton(AF_INET, options_.to.address.c_str(), &address.sin_addr) == 1 &&
      connect(member.socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    return true;
  }
  close(std::exchange(member.socket, -1));
  return false;
}

/// Returns true if the connection took any bytes.
bool CallerCrowd::Send(Member& member) const {
  const std::size_t left = options_.bytes.size() - member.sent;
  if (member.socket < 0 || left == 0) return false;
  const std::size_t size =
      options_.piece_bytes == 0 ? left : std::min(options_.piece_bytes, left);
  const ssize_t sent = send(member.socket, options_.bytes.data() + member.sent,
                            size, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent > 0) {
    member.sent += static_cast<std::size_t>(sent);
    return true;
  }
  if (errno != EAGAIN && errno != EINTR)
    close(std::exchange(member.socket, -1));
  return false;
}

}  // namespace camphor

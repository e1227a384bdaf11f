#include "harness/slow_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace camphor {
namespace {

/// With the smallest buffers and segments, some 100 KiB of unread bytes fill a
/// connection, in place of several MiB on loopback.
constexpr int kSmallBuffer = 4096;
constexpr int kSmallSegment = 536;

/// Rounds after which every connection has sent what the peer takes at first.
constexpr unsigned kStartRounds = 10;

MonoTime Now() { return std::chrono::steady_clock::now(); }

}  // namespace

SlowCrowd::SlowCrowd(Options options)
    : options_(std::move(options)), members_(options_.connections) {}

SlowCrowd::~SlowCrowd() { Stop(); }

void SlowCrowd::Start() {
  thread_ = std::thread([this] { Run(); });
}

void SlowCrowd::AwaitStarted() const {
  while (rounds_ < kStartRounds) std::this_thread::sleep_for(options_.interval);
}

void SlowCrowd::Stop() {
  if (!thread_.joinable()) return;
  stopping_ = true;
  thread_.join();
}

void SlowCrowd::Run() {
  while (!stopping_) {
    const MonoTime next = Now() + options_.interval;
    for (Member& member : members_) Turn(member, Now());
    ++rounds_;
    std::this_thread::sleep_until(next);
  }
  for (const Member& member : members_) {
    if (member.socket >= 0) close(member.socket);
  }
}

void SlowCrowd::Turn(Member& member, MonoTime now) {
  if (member.socket < 0 && (now < member.connect_at || !Connect(member)))
    return;
  if (IsClosedByPeer(member) || !Send(member)) return Close(member, now);
  if (!options_.reads) return;
  char byte = 0;
  if (recv(member.socket, &byte, 1, MSG_DONTWAIT) == 0) Close(member, now);
}

/// Starts to connect. Returns false if that fails; then the peer is asked again
/// in the next round.
bool SlowCrowd::Connect(Member& member) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return false;
  const int no_delay = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  if (options_.small_window) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof(kSmallBuffer));
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSmallSegment,
               sizeof(kSmallSegment));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options_.to.port);
  if (inet_pton(AF_INET, options_.to.address.c_str(), &address.sin_addr) == 1 &&
      (connect(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0 ||
       errno == EINPROGRESS)) {
    member = {.socket = fd};
    ++opened_;
    return true;
  }
  close(fd);
  return false;
}

bool SlowCrowd::IsClosedByPeer(const Member& member) const {
  pollfd state{.fd = member.socket, .events = POLLRDHUP};
  if (poll(&state, 1, 0) <= 0) return false;
  // Where connections are not replaced, those that the peer has closed in one
  // direction only go on sending, so that the peer has to close the other.
  const bool half = options_.reconnect.count() >= 0;
  const int events = POLLHUP | POLLERR | (half ? POLLRDHUP : 0);
  return (state.revents & events) != 0;
}

/// Sends what is due. Returns false if the connection broke.
bool SlowCrowd::Send(Member& member) const {
  const auto send_some = [&member](const char* data, std::size_t size) {
    const ssize_t sent =
        send(member.socket, data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 && (errno == EAGAIN || errno == EINTR) ? 0 : sent;
  };
  while (member.sent < options_.start.size()) {
    const ssize_t sent = send_some(options_.start.data() + member.sent,
                                   options_.start.size() - member.sent);
    if (sent <= 0) return sent == 0;
    member.sent += static_cast<std::size_t>(sent);
  }
  if (options_.drip.empty()) return true;
  const ssize_t sent =
      send_some(options_.drip.data() + member.drips % options_.drip.size(), 1);
  if (sent > 0) ++member.drips;
  return sent >= 0;
}

void SlowCrowd::Close(Member& member, MonoTime now) const {
  close(std::exchange(member.socket, -1));
  member.connect_at = options_.reconnect.count() < 0 ? MonoTime::max()
                                                     : now + options_.reconnect;
}

}  // namespace camphor

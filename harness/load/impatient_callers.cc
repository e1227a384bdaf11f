#include "harness/load/impatient_callers.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

namespace camphor {
namespace {

constexpr Milliseconds kTurn{2};
constexpr std::size_t kStatusBegin = std::string_view("HTTP/1.1 ").size();
constexpr std::size_t kStatusEnd = kStatusBegin + 3;

MonoTime Now() { return std::chrono::steady_clock::now(); }

/// Gives a socket one of many source addresses, because the ports of a single
/// one would soon be used up by connections that wait for their end.
void BindSource(int socket) {
  static std::atomic<std::uint32_t> next{0};
  constexpr std::uint32_t kFirst = 0x7F4D0001;  // 127.77.0.1
  constexpr std::uint32_t kAddresses = 250;
  const int port_at_connect = 1;
  setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &port_at_connect,
             sizeof(port_at_connect));
  sockaddr_in source{};
  source.sin_family = AF_INET;
  source.sin_addr.s_addr = htonl(kFirst + next++ % kAddresses);
  // Without it the system chooses an address.
  (void)bind(socket, reinterpret_cast<const sockaddr*>(&source),
             sizeof(source));
}

/// Returns the status of the response that begins with `head`; 0 if it is none.
unsigned ParseStatus(std::string_view head) {
  unsigned status = 0;
  if (head.size() >= kStatusEnd)
    std::from_chars(head.data() + kStatusBegin, head.data() + kStatusEnd,
                    status);
  return status;
}

}  // namespace

ImpatientCallers::ImpatientCallers(Options options)
    : options_(std::move(options)), per_second_(options_.per_second) {}

ImpatientCallers::~ImpatientCallers() { Stop(); }

void ImpatientCallers::Start() {
  arrived_ = Now();
  thread_ = std::thread([this] { Run(); });
}

void ImpatientCallers::SetRate(double per_second) {
  const std::lock_guard lock(mutex_);
  per_second_ = per_second;
}

void ImpatientCallers::Stop() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  thread_.join();
}

std::vector<ImpatientCallers::Attempt> ImpatientCallers::attempts() const {
  const std::lock_guard lock(mutex_);
  return ended_;
}

void ImpatientCallers::Run() {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) break;
    }
    Arrive(Now());
    Poll();
  }
  for (const Caller& caller : callers_) close(caller.socket);
  callers_.clear();
}

void ImpatientCallers::Arrive(MonoTime now) {
  {
    const std::lock_guard lock(mutex_);
    due_ += per_second_ * std::chrono::duration<double>(now - arrived_).count();
  }
  arrived_ = now;
  for (; due_ >= 1; due_ -= 1) {
    Caller caller{.attempts_left = options_.attempts};
    if (Connect(caller, now)) callers_.push_back(caller);
  }
}

bool ImpatientCallers::Connect(Caller& caller, MonoTime now) const {
  --caller.attempts_left;
  caller.attempt = {.began = now};
  caller.sent = false;
  caller.socket =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (caller.socket < 0) return false;
  BindSource(caller.socket);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options_.to.port);
  if (inet_pton(AF_INET, options_.to.address.c_str(), &address.sin_addr) == 1 &&
      (connect(caller.socket, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0 ||
       errno == EINPROGRESS)) {
    return true;
  }
  close(std::exchange(caller.socket, -1));
  return false;
}

void ImpatientCallers::Poll() {
  std::vector<pollfd> states;
  states.reserve(callers_.size());
  for (const Caller& caller : callers_) {
    states.push_back(
        {.fd = caller.socket,
         .events = static_cast<short>(caller.sent ? POLLIN : POLLOUT)});
  }
  poll(states.data(), states.size(), static_cast<int>(kTurn.count()));
  const MonoTime now = Now();
  for (std::size_t index = 0; index < states.size(); ++index) {
    Caller& caller = callers_[index];
    if (states[index].revents != 0) Advance(caller, now);
    if (caller.socket >= 0 && now - caller.attempt.began >= options_.patience)
      End(caller, now);
  }
  std::erase_if(callers_,
                [](const Caller& caller) { return caller.socket < 0; });
}

void ImpatientCallers::Advance(Caller& caller, MonoTime now) {
  if (!caller.sent) return Send(caller);
  std::array<char, 4096> bytes{};
  const ssize_t count =
      recv(caller.socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count > 0) {
    caller.attempt.status =
        ParseStatus({bytes.data(), static_cast<std::size_t>(count)});
    caller.attempt.answered = now;
  }
  End(caller, now);
}

void ImpatientCallers::Send(Caller& caller) const {
  const ssize_t sent = send(caller.socket, options_.request.data(),
                            options_.request.size(), MSG_NOSIGNAL);
  // A short request fits into the empty buffer of a connection. A connection
  // that was refused ends with the next read.
  caller.sent = sent != -1 || errno != EAGAIN;
}

void ImpatientCallers::End(Caller& caller, MonoTime now) {
  close(std::exchange(caller.socket, -1));
  {
    const std::lock_guard lock(mutex_);
    ended_.push_back(caller.attempt);
  }
  const bool served =
      caller.attempt.status >= 200 && caller.attempt.status < 300;
  if (!served && caller.attempts_left > 0) Connect(caller, now);
}

}  // namespace camphor

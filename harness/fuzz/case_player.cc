#include "harness/fuzz/case_player.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <deque>
#include <memory>
#include <string_view>
#include <thread>
#include <utility>

#include "core/base/time.h"
#include "harness/fuzz/response_stream.h"

namespace camphor {
namespace {

/// Only ends the wait for a listener that hangs: no time limit of the listener
/// is longer.
constexpr Milliseconds kMaxWait{30'000};
/// A listener that waits for the rest of a mutated request is given up after
/// this time without a byte.
constexpr Milliseconds kQuiet{60};
/// A caller that reads late begins to read when it cannot send for this long.
constexpr Milliseconds kMaxBlocked{100};

MonoTime Now() { return std::chrono::steady_clock::now(); }

/// The socket of one fuzzed connection.
class Connection {
 public:
  explicit Connection(const FuzzedConnection& fuzzed)
      : fuzzed_(fuzzed), stream_(fuzzed), reads_(!fuzzed.reads_late) {}

  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Connect(const Endpoint& to) {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    const int no_delay = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    return inet_pton(AF_INET, to.address.c_str(), &address.sin_addr) == 1 &&
           connect(socket_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0;
  }

  /// Sends the next bytes. Returns false if the listener neither takes them
  /// nor closes.
  bool Send(std::size_t count) {
    const std::size_t end = std::min(sent_ + count, fuzzed_.bytes.size());
    const MonoTime started = Now();
    while (sent_ < end && !lost_) {
      const ssize_t taken = send(socket_, fuzzed_.bytes.data() + sent_,
                                 end - sent_, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (taken >= 0) {
        sent_ += static_cast<std::size_t>(taken);
        continue;
      }
      if (errno != EAGAIN && errno != EINTR) {
        lost_ = true;
        break;
      }
      if (Now() - started > kMaxWait) return false;
      if (Now() - started > kMaxBlocked) reads_ = true;
      Await(POLLOUT, Milliseconds(10));
      Read();
    }
    return true;
  }

  void HalfClose() {
    half_closed_ = true;
    shutdown(socket_, SHUT_WR);
  }

  void Reset() {
    const linger abort{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    Close();
  }

  void Close() {
    if (end_ == StreamEnd::kOpen) end_ = StreamEnd::kCutOff;
    if (socket_ >= 0) close(std::exchange(socket_, -1));
  }

  /// Reads what has arrived, unless this caller reads late. Returns true if
  /// there was anything.
  bool Read() {
    bool any = false;
    std::array<char, 16384> block{};
    while (reads_ && end_ == StreamEnd::kOpen && socket_ >= 0) {
      const ssize_t count =
          recv(socket_, block.data(), block.size(), MSG_DONTWAIT);
      if (count > 0) {
        stream_.Add({block.data(), static_cast<std::size_t>(count)});
        any = true;
      } else if (count == 0) {
        end_ = StreamEnd::kClosed;
      } else if (errno == EAGAIN) {
        break;
      } else if (errno != EINTR) {
        end_ = StreamEnd::kReset;
      }
    }
    return any;
  }

  /// Reads to the end. Returns a violation if the listener hangs.
  std::string Finish() {
    reads_ = true;
    const bool all = sent_ == fuzzed_.bytes.size();
    const bool complete = all && !half_closed_ && !fuzzed_.mutated();
    MonoTime last = Now();
    while (end_ == StreamEnd::kOpen && socket_ >= 0) {
      if (complete && stream_.responses() >= fuzzed_.requests.size()) break;
      if (!stream_.violations().empty()) break;
      if (Read()) last = Now();
      const auto quiet = Now() - last;
      if (quiet > kMaxWait) {
        return fmt::format(
            "{} after {} responses on a connection of {} requests",
            half_closed_ ? "not closed after the caller's half-close"
                         : "no response",
            stream_.responses(), fuzzed_.requests.size());
      }
      if (quiet > kQuiet && !complete && !half_closed_) break;
      if (end_ == StreamEnd::kOpen) Await(POLLIN, Milliseconds(10));
    }
    Close();
    // What this side cut off may be incomplete.
    stream_.Finish(half_closed_ ? StreamEnd::kCutOff : end_, all);
    return "";
  }

  const ResponseStream& stream() const { return stream_; }

 private:
  void Await(short events, Milliseconds timeout) const {
    pollfd state{.fd = socket_, .events = events};
    poll(&state, 1, static_cast<int>(timeout.count()));
  }

  const FuzzedConnection& fuzzed_;
  ResponseStream stream_;
  int socket_ = -1;
  std::size_t sent_ = 0;
  bool reads_;
  bool lost_ = false;  // the listener takes no more bytes
  bool half_closed_ = false;
  StreamEnd end_ = StreamEnd::kOpen;
};

}  // namespace

FuzzObservation PlayFuzzCase(const FuzzCase& fuzz_case,
                             const Endpoint& listener, std::size_t steps) {
  FuzzObservation observed;
  const auto report = [&](std::size_t connection, const std::string& what) {
    observed.violations.push_back(
        fmt::format("connection {}: {}", connection, what));
  };
  std::deque<Connection> connections;
  for (const FuzzedConnection& fuzzed : fuzz_case.connections) {
    if (!connections.emplace_back(fuzzed).Connect(listener))
      report(connections.size() - 1, "cannot connect");
  }
  if (!observed.violations.empty()) return observed;

  for (const FuzzStep& step : fuzz_case.steps) {
    if (steps-- == 0) break;
    Connection& connection = connections[step.connection];
    switch (step.kind) {
      case FuzzStep::Kind::kSend:
        if (!connection.Send(step.count))
          report(step.connection, "the listener takes no bytes");
        break;
      case FuzzStep::Kind::kPause:
        std::this_thread::sleep_for(Milliseconds(step.count));
        break;
      case FuzzStep::Kind::kHalfClose:
        connection.HalfClose();
        break;
      case FuzzStep::Kind::kClose:
        connection.Close();
        break;
      case FuzzStep::Kind::kReset:
        connection.Reset();
        break;
    }
    for (Connection& other : connections) other.Read();
  }
  for (std::size_t index = 0; index < connections.size(); ++index) {
    Connection& connection = connections[index];
    const std::string hang = connection.Finish();
    if (!hang.empty()) report(index, hang);
    const ResponseStream& stream = connection.stream();
    for (const std::string& violation : stream.violations())
      report(index, violation);
    observed.refused.insert(observed.refused.end(), stream.refused().begin(),
                            stream.refused().end());
    observed.responses += stream.responses();
    observed.answered += stream.answered();
  }
  return observed;
}

}  // namespace camphor

// Stand-ins for the cases of the second review: a server, a client, the
// operator, and a driver that starts and ends the project's own programs.
// Follows the users' pages; where they are silent, a sound server or client.
#ifndef REVIEW_STAND_INS_2_PLAYERS_HPP_
#define REVIEW_STAND_INS_2_PLAYERS_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace players {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point kBegin = Clock::now();
inline std::int64_t NowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - kBegin).count();
}
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(std::int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }
inline void SleepUntil(std::int64_t ms) {
  std::this_thread::sleep_until(kBegin + Ms(ms));
}

// Lines of record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    char text[2048];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8lld ms  %s\n", static_cast<long long>(NowMs()),
                 text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define REC(...) ::players::Record::Get().Line(__VA_ARGS__)

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

inline int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToSockaddr({ip, 0});
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return 0;
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return ntohs(at.sin_port);
}

// A message of HTTP/1.1, as read.
struct Message {
  std::string first;  // request line or status line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool whole = false;
  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : fields)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return true;
    return false;
  }
  int status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
};

// A connected socket with a read buffer.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  static std::unique_ptr<Stream> Connect(const Address& to, int timeout_ms,
                                         const std::string& from = "") {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from.empty()) {
      sockaddr_in own = ToSockaddr({from, 0});
      bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own);
    }
    const int flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    sockaddr_in at = ToSockaddr(to);
    int result = connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
    if (result != 0 && errno == EINPROGRESS) {
      pollfd wait{.fd = fd, .events = POLLOUT, .revents = 0};
      int error = ETIMEDOUT;
      socklen_t size = sizeof error;
      if (poll(&wait, 1, timeout_ms) > 0)
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      result = error == 0 ? 0 : -1;
    }
    if (result != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, flags);
    return std::make_unique<Stream>(fd);
  }
  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t sent =
          send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Waits for bytes until `until_ms`; false at the end of the stream, after a
  // reset, and when the time is up.
  bool Fill(std::int64_t until_ms) {
    while (true) {
      const std::int64_t left = until_ms - NowMs();
      if (left <= 0) {
        timed_out_ = true;
        return false;
      }
      pollfd wait{.fd = fd_, .events = POLLIN, .revents = 0};
      const int ready =
          poll(&wait, 1, static_cast<int>(std::min<std::int64_t>(left, 1000)));
      if (ready == 0) continue;
      char chunk[16384];
      const ssize_t got = recv(fd_, chunk, sizeof chunk, 0);
      if (got <= 0) return false;
      buffer_.append(chunk, static_cast<std::size_t>(got));
      return true;
    }
  }
  bool Line(std::string& line, std::int64_t until_ms) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos)
      if (!Fill(until_ms)) return false;
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  bool Take(std::size_t size, std::string& out, std::int64_t until_ms) {
    while (buffer_.size() < size)
      if (!Fill(until_ms)) return false;
    out.append(buffer_, 0, size);
    buffer_.erase(0, size);
    return true;
  }
  bool ReadHeader(Message& message, std::int64_t until_ms) {
    message = {};
    if (!Line(message.first, until_ms)) return false;
    std::string line;
    while (true) {
      if (!Line(line, until_ms)) return false;
      if (line.empty()) return true;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return false;
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      if (value == std::string::npos) value = line.size();
      message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }
  bool ReadBody(Message& message, std::int64_t until_ms) {
    if (strcasecmp(message.Field("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      std::string line;
      while (true) {
        if (!Line(line, until_ms)) return false;
        const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
        if (!Take(size, message.body, until_ms)) return false;
        std::string rest;
        if (size > 0 && !Take(2, rest, until_ms)) return false;
        if (size > 0) continue;
        while (Line(line, until_ms))
          if (line.empty()) return message.whole = true;
        return false;
      }
    }
    const std::size_t size =
        std::strtoull(message.Field("Content-Length").c_str(), nullptr, 10);
    if (!Take(size, message.body, until_ms)) return false;
    return message.whole = true;
  }
  // The final answer; interim ones are skipped.
  bool ReadAnswer(Message& message, std::int64_t until_ms) {
    do {
      if (!ReadHeader(message, until_ms)) return false;
    } while (message.status() / 100 == 1);
    return ReadBody(message, until_ms);
  }
  bool PeerClosed() const {
    pollfd state{.fd = fd_, .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  void Abort() {
    if (fd_ < 0) return;
    shutdown(fd_, SHUT_RDWR);
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  bool timed_out() const { return timed_out_; }
  int fd() const { return fd_; }
  bool buffered() const { return !buffer_.empty(); }

 private:
  int fd_;
  std::string buffer_;
  bool timed_out_ = false;
};

// One call to an interface of the system or of the store.
inline Message Call(const Address& to, const std::string& method,
                    const std::string& target, const std::string& body,
                    int timeout_ms = 1000) {
  Message answer;
  const std::int64_t until = NowMs() + timeout_ms;
  const auto stream = Stream::Connect(to, timeout_ms);
  if (!stream) return answer;
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + to.text() +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\nContent-Type: application/json\r\n" +
                     "Connection: close\r\n\r\n" + body;
  if (!stream->Write(text) || !stream->ReadAnswer(answer, until)) answer = {};
  return answer;
}

inline std::string Base64(const std::string& bytes) {
  static const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i)
      group = group << 8 |
              (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i])
                                     : 0U);
    for (std::size_t i = 0; i < 4; ++i)
      out +=
          at + i <= bytes.size() ? kLetters[group >> (18 - 6 * i) & 63] : '=';
  }
  return out;
}

// The operator writes a row of the table `op`; the answer of the store is the
// acknowledgement.
inline bool WriteOperatorRow(const Address& store, const std::string& key,
                             const std::string& value) {
  const Message answer =
      Call(store, "POST", "/api/rows-tx",
           "{\"expectedRevision\":[],\"writes\":[{\"table\":\"op\",\"part\":"
           "\"\",\"key\":\"" +
               key + "\",\"value\":\"" + Base64(value) + "\"}],\"remove\":[]}");
  REC("operator writes op/%s: %d", key.c_str(), answer.status());
  return answer.status() == 200;
}

// A server of PROTOCOL.md beside a node. Thread for each connection.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string version = "v1";
    std::string zone;
    Address address;
    Address control;  // of the node beside it
    int slots = 9;
    int queue = 36;
    int heartbeat_ms = 1500;
    bool crash_poison = false;
    std::function<std::int64_t(const Message&)> work_ms;
  };
  // One run, or one request that arrived.
  struct Arrival {
    std::int64_t at = 0;
    std::string attempt;
    std::string target;
    bool ran = false;
    std::int64_t ended = -1;
    std::string end;
  };

  explicit Server(Options options) : options_(std::move(options)) {}
  ~Server() { Exit(); }

  bool Start() {
    born_ = WallMs();
    listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at = ToSockaddr(options_.address);
    if (bind(listen_fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        listen(listen_fd_, 128) != 0)
      return false;
    REC("server %s (%s) starts at %s", options_.id.c_str(),
        options_.service.c_str(), options_.address.text().c_str());
    accept_ = std::thread([this] { Accept(); });
    beats_ = std::thread([this] { Beats(); });
    return true;
  }
  // The body of a ping.
  std::string BeatBody(bool draining) {
    const std::uint64_t sequence = ++sequence_;
    return "{\"pool\":\"" + options_.service + "\",\"address\":\"" +
           options_.address.text() + "\",\"failure_domain\":\"" +
           options_.zone + "\",\"version\":\"" + options_.version +
           "\",\"slots\":" + std::to_string(options_.slots) + ",\"state\":\"" +
           (draining ? "draining" : "ready") +
           "\",\"warming_ms\":0,\"sequence\":" + std::to_string(sequence) +
           ",\"born\":" + std::to_string(born_) + "}";
  }
  int SendBeat(const std::string& body) {
    const Message answer = Call(options_.control, "POST",
                                "/v1/targets/" + options_.id + "/report", body);
    return answer.status();
  }
  // Reports that it is draining until that is acknowledged. Returns when.
  std::int64_t ReportDraining() {
    draining_ = true;
    while (true) {
      const int status = SendBeat(BeatBody(true));
      REC("server %s reports draining: %d", options_.id.c_str(), status);
      if (status / 100 == 2) return NowMs();
      Sleep(300);
    }
  }
  // Deregisters until that is acknowledged. Returns when.
  std::int64_t Deregister() {
    beating_ = false;
    draining_ = true;
    while (true) {
      const Message answer = Call(options_.control, "POST",
                                  "/v1/targets/" + options_.id + "/leave",
                                  "{\"born\":" + std::to_string(born_) + "}");
      REC("server %s deregisters: %d", options_.id.c_str(), answer.status());
      if (answer.status() / 100 == 2) return NowMs();
      Sleep(300);
    }
  }
  // Ends as a process does: its connections and its listener close.
  void Exit() {
    if (exited_.exchange(true)) return;
    REC("server %s exits", options_.id.c_str());
    beating_ = false;
    shutdown(listen_fd_, SHUT_RDWR);
    if (accept_.joinable()) accept_.join();
    close(listen_fd_);
    {
      const std::lock_guard lock(mutex_);
      for (Stream* stream : streams_) stream->Abort();
    }
    changed_.notify_all();
    if (beats_.joinable()) beats_.join();
    for (std::thread& thread : threads_) thread.join();
  }
  void StopBeating() { beating_ = false; }
  // From now on, this share of the answers has no length, and its connection is
  // reset before the end.
  void BreakOff(double share) { broken_share_ = share; }
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    std::vector<Arrival> out;
    for (const auto& arrival : arrivals_) out.push_back(*arrival);
    return out;
  }
  const Options& options() const { return options_; }
  bool crashed() const { return crashed_; }
  std::int64_t born() const { return born_; }

 private:
  void Accept() {
    while (!exited_) {
      const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (exited_ || crashed_) return;
        continue;
      }
      const std::lock_guard lock(mutex_);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Beats() {
    while (!exited_) {
      if (beating_) {
        const int status = SendBeat(BeatBody(draining_));
        if (status != last_status_)
          REC("ping of %s (%s): %d", options_.id.c_str(),
              draining_ ? "draining" : "ready", status);
        last_status_ = status;
      }
      for (int i = 0; i < options_.heartbeat_ms / 50 && !exited_; ++i)
        Sleep(50);
    }
  }
  void Serve(int fd) {
    Stream stream(fd);
    {
      const std::lock_guard lock(mutex_);
      streams_.insert(&stream);
    }
    Message request;
    while (!exited_ && !crashed_ &&
           stream.ReadHeader(request, NowMs() + 600000) &&
           stream.ReadBody(request, NowMs() + 30000)) {
      if (!Answer(stream, request)) break;
    }
    const std::lock_guard lock(mutex_);
    streams_.erase(&stream);
  }
  // Its connections and its listener end at once.
  void Crash() {
    crashed_ = true;
    beating_ = false;
    shutdown(listen_fd_, SHUT_RDWR);
    const std::lock_guard lock(mutex_);
    for (Stream* stream : streams_) stream->Abort();
  }
  static std::string Reply(const std::string& status,
                           const std::vector<std::string>& fields,
                           const std::string& body) {
    std::string text = "HTTP/1.1 " + status + "\r\n";
    for (const std::string& field : fields) text += field + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  bool Answer(Stream& stream, const Message& request) {
    const std::string attempt = request.Field("X-Camphorhill-Attempt-Id");
    const std::string id = "X-Camphorhill-Attempt-Id: " + attempt;
    if (attempt.empty())
      return stream.Write(
          Reply("400 Bad Request", {"X-Camphorhill-Not-Executed: 1"}, ""));
    const std::string expected =
        request.Field("X-Camphorhill-Expected-Instance");
    if (!expected.empty() && expected != options_.id) {
      REC("server %s answers 421 to %s, sent for %s", options_.id.c_str(),
          attempt.c_str(), expected.c_str());
      return stream.Write(
          Reply("421 Misdirected Request",
                {id, "X-Camphorhill-Instance-Id: " + options_.id}, ""));
    }
    const auto arrival = std::make_shared<Arrival>();
    arrival->at = NowMs();
    arrival->attempt = attempt;
    arrival->target = request.first;
    const std::string deadline_text =
        request.Field("X-Camphorhill-Deadline-Ms");
    const std::int64_t deadline =
        deadline_text.empty() ? arrival->at + 60000
                              : arrival->at + std::atoll(deadline_text.c_str());
    {
      std::unique_lock lock(mutex_);
      arrivals_.push_back(arrival);
      if (running_ >= options_.slots && waiting_ >= options_.queue) {
        arrival->end = "refused, not executed";
        lock.unlock();
        return stream.Write(Reply("503 Service Unavailable",
                                  {id, "X-Camphorhill-Not-Executed: 1"}, ""));
      }
      ++waiting_;
      changed_.wait_until(lock, kBegin + Ms(deadline),
                          [&] { return running_ < options_.slots || exited_; });
      --waiting_;
      if (exited_) return false;
      if (running_ >= options_.slots || NowMs() >= deadline) {
        arrival->end = "deadline passed in the queue";
        lock.unlock();
        return stream.Write(Reply("503 Service Unavailable",
                                  {id, "X-Camphorhill-Not-Executed: 1"}, ""));
      }
      ++running_;
      arrival->ran = true;
    }
    if (options_.crash_poison &&
        request.first.find("/poison") != std::string::npos) {
      REC("server %s begins to run %s and crashes", options_.id.c_str(),
          attempt.c_str());
      Crash();
      return false;
    }
    REC("server %s runs %s (%s), %s ms left", options_.id.c_str(),
        attempt.c_str(), request.first.c_str(), deadline_text.c_str());
    const std::int64_t done =
        NowMs() + (options_.work_ms ? options_.work_ms(request) : 50);
    bool gone = false;
    while (NowMs() < std::min(done, deadline) && !exited_ && !gone) {
      Sleep(std::min<std::int64_t>(5, std::min(done, deadline) - NowMs()));
      gone = stream.PeerClosed();
    }
    const bool cut = exited_;
    const bool late = !cut && !gone && NowMs() >= deadline && NowMs() < done;
    {
      const std::lock_guard lock(mutex_);
      --running_;
      arrival->ended = NowMs();
      arrival->end = cut    ? "cut: the server exits"
                     : gone ? "dropped: its connection closed"
                     : late ? "504"
                            : "200";
    }
    changed_.notify_all();
    REC("server %s ends %s: %s", options_.id.c_str(), attempt.c_str(),
        arrival->end.c_str());
    if (cut || gone) return false;
    const std::string signature =
        "X-Camphorhill-Response-Signature: s." + options_.id + "." + attempt;
    broken_credit_ = broken_credit_ + broken_share_;
    if (!late && broken_credit_ >= 1) {
      broken_credit_ = broken_credit_ - 1;
      REC("server %s breaks off its answer to %s", options_.id.c_str(),
          attempt.c_str());
      stream.Write("HTTP/1.1 200 OK\r\n" + id + "\r\n" + signature +
                   "\r\nConnection: close\r\n\r\nran ");
      Sleep(5);
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(stream.fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      return false;
    }
    return stream.Write(Reply(late ? "504 Gateway Timeout" : "200 OK",
                              {id, signature, "Content-Type: text/plain"},
                              "ran " + attempt + " at " + options_.id));
  }

  Options options_;
  std::int64_t born_ = 0;
  int listen_fd_ = -1;
  int last_status_ = -1;
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<bool> exited_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> crashed_{false};
  std::atomic<bool> beating_{true};
  std::atomic<double> broken_share_{0};
  std::atomic<double> broken_credit_{0};
  std::thread accept_;
  std::thread beats_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<Stream*> streams_;
  std::vector<std::thread> threads_;
  std::vector<std::shared_ptr<Arrival>> arrivals_;
  int running_ = 0;
  int waiting_ = 0;
};

// What a client attempt got.
struct Outcome {
  std::string attempt;
  std::int64_t sent = 0;
  std::int64_t ended = 0;
  int status = 0;  // 0: no answer
  std::string signature;
  std::string body;
  bool closed = false;  // the connection ended without a complete answer
};

inline std::string NewAttempt() {
  static std::atomic<std::uint64_t> next{1};
  char text[32];
  std::snprintf(text, sizeof text, "a%015llx",
                static_cast<unsigned long long>(next++));
  return text;
}

// One client attempt on a new connection.
inline Outcome Send(const Address& to, const std::string& method,
                    const std::string& host, const std::string& path,
                    int deadline_ms, const std::string& body = "") {
  Outcome outcome;
  outcome.attempt = NewAttempt();
  outcome.sent = NowMs();
  REC("client sends %s %s%s to %s as %s", method.c_str(), host.c_str(),
      path.c_str(), to.text().c_str(), outcome.attempt.c_str());
  const auto stream = Stream::Connect(to, 1000);
  Message answer;
  if (stream) {
    std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Camphorhill-Attempt-Id: " + outcome.attempt +
        "\r\nX-Camphorhill-Deadline-Ms: " + std::to_string(deadline_ms) +
        "\r\n";
    if (!body.empty())
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    if (stream->Write(text) &&
        stream->ReadAnswer(answer, outcome.sent + deadline_ms + 500)) {
      outcome.status = answer.status();
      outcome.signature = answer.Field("X-Camphorhill-Response-Signature");
      outcome.body = answer.body;
    } else {
      outcome.closed = !stream->timed_out();
    }
  }
  outcome.ended = NowMs();
  REC("client of %s gets %d, signature %s, %lld ms after sending, %s",
      outcome.attempt.c_str(), outcome.status,
      outcome.signature.empty() ? "none" : outcome.signature.c_str(),
      static_cast<long long>(outcome.ended - outcome.sent),
      outcome.body.substr(0, 120).c_str());
  return outcome;
}

// A process that this case started.
class Process {
 public:
  Process(std::vector<std::string> words, std::string log)
      : words_(std::move(words)), log_(std::move(log)) {}
  ~Process() { Kill(); }
  bool Start() {
    pid_ = fork();
    if (pid_ == 0) {
      const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      std::vector<char*> args;
      for (std::string& word : words_) args.push_back(word.data());
      args.push_back(nullptr);
      execv(args[0], args.data());
      _exit(127);
    }
    return pid_ > 0;
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  // Waits for its end; -1 if it still runs after `ms`.
  int Wait(std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    int status = 0;
    while (pid_ > 0) {
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return status;
      }
      if (NowMs() >= until) return -1;
      Sleep(10);
    }
    return status;
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  bool runs() const { return pid_ > 0 && kill(pid_, 0) == 0; }

 private:
  std::vector<std::string> words_;
  std::string log_;
  pid_t pid_ = -1;
};

// A host: a node with the settings of deploy/settings.json.template.
struct Host {
  std::string name;
  std::string zone;
  std::string service;  // of the server beside it
  std::string ip;
  Address outbound, inbound, control, ready, mesh;
  Address app;
  std::unique_ptr<Process> process;
};

class Deployment {
 public:
  Deployment(std::string root, std::string folder)
      : root_(std::move(root)), folder_(std::move(folder)) {}

  bool StartStore() {
    store_ = {"127.0.0.1", FreePort("127.0.0.1")};
    store_process_ = std::make_unique<Process>(
        std::vector<std::string>{
            root_ + "/build/review-2/bin/platform_stand_in",
            "--listen=" + store_.text(), "--reads-per-s=2000",
            "--writes-per-s=400"},
        folder_ + "/store.log");
    if (!store_process_->Start()) return false;
    for (int i = 0; i < 100; ++i) {
      if (Call(store_, "GET", "/control/counters", "").status() == 200)
        return true;
      Sleep(50);
    }
    return false;
  }
  void SetStore(const std::string& mode) {
    const int status =
        Call(store_, "POST", "/control", "{\"mode\":\"" + mode + "\"}")
            .status();
    REC("the platform's store: %s (%d)", mode.c_str(), status);
  }
  Host& AddHost(const std::string& zone, const std::string& service,
                const Address& store) {
    auto host = std::make_unique<Host>();
    const std::size_t number = hosts_.size() + 1;
    host->name = "sidecar-" + zone + "-" + std::to_string(number);
    host->zone = zone;
    host->service = service;
    host->ip = "127.0.0." + std::to_string(10 + number);
    for (Address* address : {&host->outbound, &host->inbound, &host->control,
                             &host->ready, &host->mesh, &host->app})
      *address = {host->ip, FreePort(host->ip)};
    std::ofstream file(folder_ + "/" + host->name + ".json");
    file << "{\n  \"host\": \"" << host->name << "\",\n"
         << "  \"failure_domain\": \"" << zone << "\",\n"
         << "  \"interface\": \"platform\",\n"
         << "  \"caller_listen\": \"" << host->outbound.text() << "\",\n"
         << "  \"forward_listen\": \"" << host->inbound.text() << "\",\n"
         << "  \"mesh_listen\": \"" << host->mesh.text() << "\",\n"
         << "  \"admin_listen\": \"" << host->control.text() << "\",\n"
         << "  \"admin_also\": [\"" << host->ready.text() << "\"],\n"
         << "  \"caller_pool\": \"" << service << "\",\n"
         << "  \"platform\": \"" << store.text() << "\",\n"
         << "  \"mesh_key\": \"replace-this-key\",\n"
         << "  \"operator_token\": \"replace-this-token\",\n"
         << extra_settings
         << "  \"proxy\": {\"retry_ratio\": 0.2, \"retry_burst\": 58, "
            "\"link_mbps\": 1000.0},\n"
         << "  \"drain\": {\"notice_ms\": 2200, \"grace_s\": 6},\n"
         << "  \"replication\": {\"pollers_per_domain\": 2}\n}\n";
    file.close();
    hosts_.push_back(std::move(host));
    return *hosts_.back();
  }
  bool StartHost(Host& host) {
    REC("host %s starts (%s)", host.name.c_str(), host.service.c_str());
    host.process = std::make_unique<Process>(
        std::vector<std::string>{root_ + "/target/bin/camphord", "--settings",
                                 folder_ + "/" + host.name + ".json"},
        folder_ + "/" + host.name + ".log");
    return host.process->Start();
  }
  bool AwaitReady(Host& host, std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      if (Call(host.ready, "GET", "/readyz", "").status() == 200) {
        REC("host %s is ready", host.name.c_str());
        return true;
      }
      Sleep(50);
    }
    return false;
  }
  void Stop() {
    for (const auto& host : hosts_)
      if (host->process) host->process->Kill();
    if (store_process_) store_process_->Kill();
  }
  const Address& store() const { return store_; }
  std::string extra_settings;

 private:
  std::string root_;
  std::string folder_;
  Address store_;
  std::unique_ptr<Process> store_process_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace players

#endif  // REVIEW_STAND_INS_2_PLAYERS_HPP_

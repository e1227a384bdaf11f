#ifndef CAMPHORHILL_UNIT_TESTS_PROXY_SCRIPTED_TARGET_H_
#define CAMPHORHILL_UNIT_TESTS_PROXY_SCRIPTED_TARGET_H_

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <cctype>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "core/base/endpoint.h"

namespace camphor {

/// Bytes that a scripted target writes in response to one request.
struct ScriptedResponse {
  std::string bytes{};
  bool close = false;  ///< closes the connection after the bytes
  bool reset = false;  ///< resets the connection after the bytes
};

/// A target that responds to each request with bytes chosen by the test.
class ScriptedTarget {
 public:
  using Script = std::function<ScriptedResponse(const std::string& request)>;

  /// `port` 0 picks a free port.
  explicit ScriptedTarget(Script script, std::uint16_t port = 0)
      : script_(std::move(script)),
        acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), port}) {
    accepting_ = std::thread([this] { Accept(); });
  }

  ~ScriptedTarget() {
    stopping_ = true;
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket wake(io_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    accepting_.join();
    {
      const std::scoped_lock lock(closing_);
      for (boost::asio::ip::tcp::socket& socket : sockets_)
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    }
    for (Server& server : servers_) server.thread.join();
  }

  Endpoint endpoint() const {
    return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }

  /// Connections that it has closed after a response. Thread-safe.
  std::size_t closed() const { return closed_; }

  /// Bytes that its peers have taken so far. Thread-safe.
  std::size_t bytes_written() const { return bytes_written_; }

 private:
  // Serves one connection.
  struct Server {
    std::thread thread{};
    std::atomic<bool> ended = false;
  };

  void Accept() {
    while (true) {
      boost::asio::ip::tcp::socket& socket =
          sockets_.emplace_back(acceptor_.accept());
      if (stopping_) return;
      JoinEndedServers();
      Server& server = servers_.emplace_back();
      server.thread = std::thread([this, &socket, &server] {
        Serve(socket);
        server.ended = true;
      });
    }
  }

  // Keeps the number of threads that are not joined small.
  void JoinEndedServers() {
    servers_.remove_if([](Server& server) {
      if (!server.ended) return false;
      server.thread.join();
      return true;
    });
  }

  void Serve(boost::asio::ip::tcp::socket& socket) {
    std::string buffer;
    boost::system::error_code error;
    while (true) {
      const std::size_t size = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
      if (error) return;
      const ScriptedResponse response = script_(buffer.substr(0, size));
      buffer.erase(0, size);
      bytes_written_ += boost::asio::write(
          socket, boost::asio::buffer(response.bytes), error);
      if (response.reset) {
        const std::scoped_lock lock(closing_);
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        socket.close(error);
        return;
      }
      if (response.close) {
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, error);
        ++closed_;
        return;
      }
    }
  }

  Script script_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> bytes_written_ = 0;
  std::atomic<std::size_t> closed_ = 0;
  std::mutex closing_;  ///< serializes closing of sockets
  std::list<boost::asio::ip::tcp::socket> sockets_;
  std::list<Server> servers_;
  std::thread accepting_;
};

/// Returns a header's value in the text of a request; empty when absent.
inline std::string FindHeaderValue(const std::string& request,
                                   const std::string& name) {
  const auto lower = [](std::string text) {
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return std::tolower(c); });
    return text;
  };
  const std::size_t at = lower(request).find("\r\n" + lower(name) + ": ");
  if (at == std::string::npos) return "";
  const std::size_t from = at + name.size() + 4;
  return request.substr(from, request.find("\r\n", from) - from);
}

inline std::string MakeResponse(const std::string& status,
                                const std::string& headers,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_PROXY_SCRIPTED_TARGET_H_

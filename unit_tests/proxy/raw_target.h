#ifndef CAMPHORHILL_UNIT_TESTS_PROXY_RAW_TARGET_H_
#define CAMPHORHILL_UNIT_TESTS_PROXY_RAW_TARGET_H_

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/base/endpoint.h"
#include "unit_tests/proxy/scripted_target.h"

namespace camphor {

/// A target that sends the same bytes to each request, with the request's id in
/// place of "ID", and "dies" on a path with /poison: it closes its listener
/// before its connections.
class RawTarget {
 public:
  static constexpr const char* kOk =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  explicit RawTarget(std::string response = kOk)
      : response_(std::move(response)),
        acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    endpoint_ = {.address = "127.0.0.1",
                 .port = acceptor_.local_endpoint().port()};
    thread_ = std::thread([this] { Run(); });
  }

  ~RawTarget() {
    Kill();
    thread_.join();
  }

  void Kill() {
    boost::asio::post(io_, [this] { Die(); });
  }

  const Endpoint& endpoint() const { return endpoint_; }
  bool dead() const { return dead_; }
  int answered() const { return answered_; }

 private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::string request;
  };

  void Run() {
    Accept();
    io_.run();
  }

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error) return;
      sessions_.push_back(std::make_shared<Session>(std::move(socket)));
      Read(sessions_.back());
      Accept();
    });
  }

  void Read(const std::shared_ptr<Session>& session) {
    boost::asio::async_read_until(
        session->socket, boost::asio::dynamic_buffer(session->request),
        "\r\n\r\n",
        [this, session](const boost::system::error_code& error, std::size_t) {
          if (error) return;
          if (session->request.find("/poison") != std::string::npos) {
            return Die();
          }
          std::string response = response_;
          const std::size_t at = response.find("ID\r\n");
          if (at != std::string::npos)
            response.replace(at, 2, FindHeaderValue(session->request, "T-Id"));
          session->request.clear();
          boost::system::error_code ignored;
          boost::asio::write(session->socket, boost::asio::buffer(response),
                             ignored);
          ++answered_;
          Read(session);
        });
  }

  void Die() {
    dead_ = true;
    acceptor_.close();
    for (const auto& session : sessions_) session->socket.close();
  }

  std::string response_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Session>> sessions_;
  Endpoint endpoint_;
  std::atomic<bool> dead_ = false;
  std::atomic<int> answered_ = 0;
  std::thread thread_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_PROXY_RAW_TARGET_H_

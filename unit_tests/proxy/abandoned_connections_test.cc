#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

using boost::asio::ip::tcp;

/// Processor time of a request at a host that has little.
constexpr Milliseconds kRequestTime{5};
constexpr unsigned kBusyCallers = 20;
constexpr unsigned kAbandoned = 1000;

/// A proxy takes a new connection within this time.
constexpr Milliseconds kContact{3000};
constexpr Milliseconds kPatience{500};

constexpr char kRequest[] = "GET /get HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kHello[] =
    "GET / HTTP/1.1\r\nHost: proxy\r\nX-Camphor-Control: hello\r\n"
    "X-Camphor-Nonce: 0123456789abcdef\r\n\r\n";

/// A proxy whose requests take much processor time, and which callers keep
/// busy on connections that it has accepted.
class AbandonedConnectionsTest : public TwoHosts {
 protected:
  void SetUp() override {
    TwoHosts::SetUp();
    accepts_keys_ = [this] {
      std::this_thread::sleep_for(blocked_ ? kPatience : kRequestTime);
      while (stuck_) std::this_thread::sleep_for(kRequestTime);
      return true;
    };
    AddTarget("h1", "t1", [](const HttpExchange& exchange) {
      exchange.Respond({.status = 200, .body = "ok"});
    });
    StartHosts();
    for (unsigned index = 0; index < kBusyCallers; ++index)
      busy_.emplace_back([this] { KeepBusy(); });
  }

  void TearDown() override {
    stopping_ = true;
    for (std::thread& caller : busy_) caller.join();
    TwoHosts::TearDown();
  }

  void KeepBusy() {
    HttpConnection connection(proxies_.at("h1")->caller_endpoint());
    while (!stopping_)
      connection.Call({.method = "GET", .target = "/get"}, Seconds(10));
  }

  tcp::socket Send(const Endpoint& to, const std::string& bytes) {
    tcp::socket socket(io_);
    socket.connect({boost::asio::ip::make_address(to.address), to.port});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    return socket;
  }

  /// Opens connections that are closed before the proxy accepts them.
  void Abandon(const Endpoint& to, const std::string& bytes) {
    blocked_ = true;
    std::this_thread::sleep_for(kPatience);
    for (unsigned index = 0; index < kAbandoned; ++index) Send(to, bytes);
    blocked_ = false;
  }

  /// Returns the time until the response to a request on a new connection.
  Milliseconds AnsweredAfter(const Endpoint& to, const std::string& bytes) {
    const MonoTime begin = std::chrono::steady_clock::now();
    tcp::socket socket = Send(to, bytes);
    boost::asio::streambuf response;
    boost::system::error_code error;
    boost::asio::read_until(socket, response, "\r\n\r\n", error);
    EXPECT_FALSE(error) << error.message();
    return std::chrono::duration_cast<Milliseconds>(
        std::chrono::steady_clock::now() - begin);
  }

  boost::asio::io_context io_;
  std::atomic<bool> blocked_ = false;
  std::atomic<bool> stuck_ = false;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> busy_;
};

using AbandonedConnections = AbandonedConnectionsTest;

TEST_F(AbandonedConnections, CallersGaveUpInTheQueue_NewCallerIsServedInTime) {
  const Endpoint callers = proxies_.at("h1")->caller_endpoint();
  Abandon(callers, kRequest);
  EXPECT_LT(AnsweredAfter(callers, kRequest), kContact);
}

TEST_F(AbandonedConnections, HostsGaveUpInTheQueue_NewHostIsAnsweredInTime) {
  const Endpoint hosts = proxies_.at("h1")->forward_endpoint();
  Abandon(hosts, kHello);
  EXPECT_LT(AnsweredAfter(hosts, kHello), kContact);
}

// Guards against a host that says it is ready while its proxy is stuck.
TEST_F(AbandonedConnections, ThreadIsStuckAndGoesOn_ResponsiveOnlyThen) {
  ProxyServer& proxy = *proxies_.at("h1");
  EXPECT_TRUE(proxy.IsResponsive());
  stuck_ = true;
  std::this_thread::sleep_for(Milliseconds(2600));
  EXPECT_FALSE(proxy.IsResponsive());
  stuck_ = false;
  std::this_thread::sleep_for(Milliseconds(800));
  EXPECT_TRUE(proxy.IsResponsive());
}

TEST_F(AbandonedConnections, CallersWaitInTheQueue_AllAreServed) {
  const Endpoint callers = proxies_.at("h1")->caller_endpoint();
  constexpr unsigned kWaiting = 100;
  std::vector<tcp::socket> sockets;
  for (unsigned index = 0; index < kWaiting; ++index)
    sockets.push_back(Send(callers, kRequest));
  for (tcp::socket& socket : sockets) {
    boost::asio::streambuf response;
    boost::system::error_code error;
    boost::asio::read_until(socket, response, "\r\n\r\n", error);
    EXPECT_FALSE(error) << error.message();
  }
}

}  // namespace
}  // namespace camphor

#include <boost/asio.hpp>
#include <list>
#include <string>
#include <thread>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class ProxyLimitsTest : public TwoHosts {
 protected:
  /// Sends bytes to an endpoint and reads until the connection closes.
  static std::string Talk(const Endpoint& endpoint, const std::string& bytes) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
  }

  std::string TalkToCaller(const std::string& bytes) {
    return Talk(proxies_["h1"]->caller_endpoint(), bytes);
  }

  void AddCountingTarget() {
    AddTarget("h1", "t1", [this](const HttpExchange& exchange) {
      ++runs_;
      exchange.Respond({.body = "ok"});
    });
  }

  std::atomic<int> runs_ = 0;
};

TEST_F(ProxyLimitsTest, ConflictingLengths_AreRefused) {
  AddCountingTarget();
  StartHosts();
  const std::vector<std::string> headers = {
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nContent-Length: 3\r\n",
      "Content-Length: 3, 3\r\n",
      "Content-Length: +3\r\n",
      "Content-Length: -1\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
      "Host: b\r\n",
      "Bad Name: x\r\n",
  };
  for (const std::string& header : headers) {
    const std::string response =
        TalkToCaller("POST /x HTTP/1.1\r\nHost: a\r\n" + header + "\r\nabc");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 400 ")) << header << response;
    EXPECT_NE(response.find("X-Camphor-Not-Run: true"), std::string::npos);
  }
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyLimitsTest, NoHostOrOldVersion_IsRefused) {
  AddCountingTarget();
  StartHosts();
  for (const std::string start :
       {"GET /x HTTP/1.1\r\n\r\n", "GET /x HTTP/1.0\r\nHost: a\r\n\r\n",
        "GET http://a/x HTTP/1.1\r\nHost: a\r\n\r\n", "nonsense\r\n\r\n"}) {
    EXPECT_TRUE(TalkToCaller(start).starts_with("HTTP/1.1 400 ")) << start;
  }
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyLimitsTest, LongHeader_IsRefused) {
  AddCountingTarget();
  StartHosts();
  const std::string response = TalkToCaller(
      "GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(20'000, 'a') +
      "\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 431 ")) << response;
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyLimitsTest, SlowHeader_IsRefused) {
  AddCountingTarget();
  StartHosts({.header_timeout = Milliseconds(50)});
  const std::string response = TalkToCaller("GET /x HTTP/1.1\r\nHo");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 408 ")) << response;
  EXPECT_EQ(Metric("h1", "slow_callers"), 1U);
}

TEST_F(ProxyLimitsTest, SlowBody_IsRefused) {
  AddCountingTarget();
  StartHosts({.body_timeout = Milliseconds(50)});
  const std::string response = TalkToCaller(
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 408 ")) << response;
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyLimitsTest, UnauthenticatedPeer_CannotUseTheForwardListener) {
  AddCountingTarget();
  StartHosts();
  const Endpoint forward = proxies_["h1"]->forward_endpoint();
  const std::string request =
      "GET /x HTTP/1.1\r\nHost: a\r\nX-Camphor-Target-Id: t1\r\n";
  EXPECT_TRUE(Talk(forward, request + "\r\n").starts_with("HTTP/1.1 403 "));
  EXPECT_TRUE(Talk(forward, request + "X-Camphor-Proof: 00\r\n\r\n")
                  .starts_with("HTTP/1.1 403 "));
  const std::string hello =
      "GET / HTTP/1.1\r\nHost: a\r\nX-Camphor-Control: hello\r\n"
      "X-Camphor-Nonce: 1\r\n\r\n";
  EXPECT_NE(Talk(forward, hello + request + "X-Camphor-Proof: 00\r\n\r\n")
                .find("HTTP/1.1 403 "),
            std::string::npos);
  EXPECT_EQ(runs_, 0);
  EXPECT_EQ(Metric("h1", "strangers"), 3U);
}

// Guards against a stranger that holds a place with one handshake message after
// another.
TEST_F(ProxyLimitsTest, SecondHello_IsRefusedAndClosed) {
  StartHosts();
  const std::string hello =
      "GET / HTTP/1.1\r\nHost: a\r\nX-Camphor-Control: hello\r\n"
      "X-Camphor-Nonce: 1\r\n\r\n";
  const std::string response =
      Talk(proxies_["h1"]->forward_endpoint(), hello + hello);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response;
  EXPECT_NE(response.find("HTTP/1.1 403 "), std::string::npos) << response;
}

// Guards against a stranger that stops halfway through the handshake.
TEST_F(ProxyLimitsTest, NoProofInTime_IsClosedAndCounted) {
  StartHosts({.handshake_timeout = Milliseconds(200)});
  const std::string response =
      Talk(proxies_["h1"]->forward_endpoint(),
           "GET / HTTP/1.1\r\nHost: a\r\nX-Camphor-Control: hello\r\n"
           "X-Camphor-Nonce: 1\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response;
  EXPECT_EQ(Metric("h1", "handshakes_late"), 1U);
}

// Guards against a time limit that closes connections of hosts: they live on
// after it.
TEST_F(ProxyLimitsTest, HostHasProvedItself_StaysConnected) {
  AddTarget("h2", "t1", [](const HttpExchange& exchange) {
    exchange.Respond({.body = "ok"});
  });
  StartHosts({.handshake_timeout = Milliseconds(200)});
  for (int call = 0; call < 3; ++call) {
    const auto response = Call({.method = "GET", .target = "/get"});
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 200);
    std::this_thread::sleep_for(Milliseconds(300));
  }
  EXPECT_EQ(Metric("h2", "handshakes_late"), 0U);
}

// Guards against strangers that keep hosts from connecting: with one place for
// handshakes, each newer one displaces the one before.
TEST_F(ProxyLimitsTest, StrangersHoldThePlaces_HostStillConnects) {
  AddTarget("h2", "t1", [](const HttpExchange& exchange) {
    exchange.Respond({.body = "ok"});
  });
  StartHosts({.forward_connections = 2});
  const Endpoint to = proxies_["h2"]->forward_endpoint();
  asio::io_context io;
  std::list<tcp::socket> strangers;
  for (int index = 0; index < 5; ++index) {
    strangers.emplace_back(io).connect(
        {asio::ip::make_address(to.address), to.port});
  }
  const auto response = Call({.method = "GET", .target = "/get"});
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->status, 200);
  EXPECT_GE(Metric("h2", "handshakes_displaced"), 4U);
}

TEST_F(ProxyLimitsTest, PipelinedRequests_AreAnsweredInOrder) {
  AddTarget("h1", "t1", [](const HttpExchange& exchange) {
    exchange.Respond({.body = exchange.request().target});
  });
  StartHosts();
  const std::string response = TalkToCaller(
      "GET /get/1 HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /get/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::size_t first = response.find("\r\n\r\n/get/1");
  EXPECT_NE(first, std::string::npos) << response;
  EXPECT_NE(response.find("\r\n\r\n/get/2", first), std::string::npos)
      << response;
}

TEST_F(ProxyLimitsTest, CallersInternalHeaders_DoNotReachTheTarget) {
  AddTarget("h1", "t1", [](const HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    exchange.Respond({.body = request.Field("x-camphor-claim", "none") +
                              request.Field("te", "none") +
                              request.Field("x-hop", "none")});
  });
  StartHosts();
  const auto response = Call({.method = "GET",
                              .target = "/get",
                              .fields = {{"x-camphor-claim", "1"},
                                         {"te", "trailers"},
                                         {"x-hop", "1"},
                                         {"connection", "x-hop"}}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "nonenonenone");
}

TEST_F(ProxyLimitsTest, ConnectionsOverTheLimit_AreClosed) {
  AddCountingTarget();
  StartHosts({.caller_connections = 1});
  HttpConnection first(proxies_["h1"]->caller_endpoint());
  const HttpRequest request{
      .method = "GET", .target = "/get", .fields = {{"host", "a"}}};
  ASSERT_TRUE(first.Call(request));
  EXPECT_EQ(TalkToCaller("GET /get HTTP/1.1\r\nHost: a\r\n\r\n"), "");
  ASSERT_TRUE(first.Call(request));
}

}  // namespace
}  // namespace camphor

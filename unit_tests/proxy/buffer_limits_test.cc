#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A proxy with a local target that counts its runs.
class BufferLimitsTest : public TwoHosts {
 protected:
  void Start(ProxyLimits limits) {
    AddTarget("h1", "t1", [this](const HttpExchange& exchange) {
      ++runs_;
      exchange.Respond({.body = "ok"});
    });
    StartHosts(limits);
  }

  tcp::socket Connect() {
    tcp::socket socket(io_);
    const Endpoint to = proxies_["h1"]->caller_endpoint();
    socket.connect({asio::ip::make_address(to.address), to.port});
    return socket;
  }

  /// Sends bytes and reads until the connection closes.
  std::string Talk(const std::string& bytes) {
    tcp::socket socket = Connect();
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
  }

  bool IsServed() {
    const auto response = Call({.method = "GET", .target = "/get"});
    return response.has_value() && response->status == 200;
  }

  /// Repeats an ordinary call until it is served.
  bool AwaitServed() {
    for (int attempt = 0; attempt < 500; ++attempt) {
      if (IsServed()) return true;
      std::this_thread::sleep_for(Milliseconds(20));
    }
    return false;
  }

  asio::io_context io_;
  std::atomic<int> runs_ = 0;
};

using BufferLimitsRequest = BufferLimitsTest;
using BufferLimitsConnection = BufferLimitsTest;
using ProxyServerDump = BufferLimitsTest;

TEST_F(BufferLimitsRequest, NoBuffersToRunIt_503NotRun) {
  Start({.buffer_bytes = 20 * 1024});
  const std::string response = Talk("GET /get HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  EXPECT_NE(response.find("X-Camphor-Not-Run: true"), std::string::npos);
  EXPECT_NE(response.find("X-Camphor-Reason: buffers_full"), std::string::npos);
  EXPECT_EQ(runs_, 0);
  EXPECT_EQ(Metric("h1", "buffers_refused"), 1U);
}

// Guards against headers of legal size whose many fields need far more memory.
TEST_F(BufferLimitsRequest, NoBuffersForShortFields_503NotRun) {
  Start({.buffer_bytes = 200 * 1024});
  std::string fields;
  for (int index = 0; index < 4000; ++index) fields += "a:\r\n";
  const std::string response =
      Talk("GET /get HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  EXPECT_EQ(runs_, 0);
  EXPECT_TRUE(IsServed());
}

TEST_F(BufferLimitsRequest, MoreFieldsThanLimit_431) {
  Start({.header_fields = 5});
  std::string fields;
  for (int index = 0; index < 6; ++index) fields += "a: b\r\n";
  const std::string response =
      Talk("GET /get HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 431 ")) << response;
  EXPECT_EQ(runs_, 0);
  EXPECT_EQ(Metric("h1", "header_fields_refused"), 1U);
}

// Guards against a buffer that grows with a chunk extension.
TEST_F(BufferLimitsRequest, EndlessChunkExtension_ClosedAndNotRun) {
  Start({});
  Talk("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e8;" +
       std::string(1'000'000, 'x'));
  EXPECT_EQ(runs_, 0);
  EXPECT_TRUE(IsServed());
}

// Guards against a crowd of silent connections that locks others out until the
// idle timeout, here a minute.
TEST_F(BufferLimitsConnection, IdleOneHoldsLastPlace_YieldsToNewOne) {
  Start({.caller_connections = 1});
  const tcp::socket idle = Connect();
  EXPECT_TRUE(AwaitServed());
  EXPECT_EQ(Metric("h1", "connections_yielded"), 1U);
}

// Guards against a crowd that stops short of the end of its bodies and holds
// all buffers until its deadline, here 20 s.
TEST_F(BufferLimitsConnection, HalfSentBodyHoldsBuffers_YieldsWithRefusal) {
  Start({.buffer_bytes = 60 * 1024, .body_timeout = Milliseconds(60'000)});
  tcp::socket stopped = Connect();
  asio::write(stopped, asio::buffer("POST /x HTTP/1.1\r\nHost: a\r\n"
                                    "Content-Length: 20000\r\n\r\n" +
                                    std::string(12'000, 'x')));
  // Needs what the other one holds.
  EXPECT_TRUE(AwaitServed());
  std::string response;
  boost::system::error_code error;
  asio::read(stopped, asio::dynamic_buffer(response), error);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  EXPECT_NE(response.find("X-Camphor-Not-Run: true"), std::string::npos);
  EXPECT_EQ(Metric("h1", "buffers_yielded"), 1U);
}

// Guards against a stop that waits for a dump that the closed proxy never
// writes.
TEST_F(ProxyServerDump, WhileServerStops_Returns) {
  for (int round = 0; round < 20; ++round) {
    ProxyServer server({.caller_listen = {.address = "127.0.0.1"},
                        .forward_listen = {.address = "127.0.0.1"},
                        .host = HostId("h1"),
                        .domain = FailureDomain("d"),
                        .mesh_key = "key",
                        .routing = [] { return EffectiveRoutingPtr(); }});
    ASSERT_TRUE(server.Start());
    std::atomic<bool> stopped = false;
    std::atomic<int> dumps = 0;
    std::thread reader([&] {
      while (!stopped) {
        server.DumpJson();
        ++dumps;
      }
    });
    while (dumps == 0) std::this_thread::yield();
    EXPECT_TRUE(server.StopIfIdle());
    EXPECT_EQ(server.DumpJson(), "{}");
    stopped = true;
    reader.join();
  }
}

}  // namespace
}  // namespace camphor

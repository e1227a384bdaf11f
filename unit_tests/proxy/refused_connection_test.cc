#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <string>
#include <utility>

#include "proxy/caller_session.h"
#include "proxy/proxy_context.h"

namespace camphor {
namespace {

/// A connection that is accepted and refused without being served.
class RefusedConnectionTest : public testing::Test {
 protected:
  /// Sends the bytes, refuses the connection and returns what is received until
  /// its end.
  std::string Refuse(const std::string& request) {
    tcp::acceptor listener(io_, {asio::ip::address_v4::loopback(), 0});
    tcp::socket caller(io_);
    caller.connect(listener.local_endpoint());
    tcp::socket accepted = listener.accept();
    asio::write(caller, asio::buffer(request));
    if (!request.empty()) accepted.wait(tcp::socket::wait_read);
    CallerSession::Refuse(context_, std::move(accepted));
    std::string response;
    beast::error_code error;
    asio::read(caller, asio::dynamic_buffer(response), error);
    EXPECT_EQ(error, asio::error::eof);
    return response;
  }

  asio::io_context io_;
  ProxyContext context_{ProxyServer::Options{}};
};

using RefusedConnection = RefusedConnectionTest;

TEST_F(RefusedConnection, RequestArrived_ToldThatItWasNotRun) {
  const std::string response = Refuse("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 "));
  for (const char* part :
       {"X-Camphor-Reason: overloaded\r\n", "X-Camphor-Not-Run: true\r\n",
        "Retry-After: 1\r\n", "Connection: close\r\n"})
    EXPECT_NE(response.find(part), std::string::npos) << response;
}

TEST_F(RefusedConnection, HeadRequestArrived_ResponseHasNoBody) {
  const std::string response = Refuse("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 "));
  EXPECT_TRUE(response.ends_with("\r\n\r\n")) << response;
}

TEST_F(RefusedConnection, NothingArrived_ClosedWithoutAResponse) {
  EXPECT_EQ(Refuse(""), "");
}

}  // namespace
}  // namespace camphor

#include "node/admin/admin_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "stand_ins/http/http_connection.h"

namespace camphor {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

class AdminServerTest : public testing::Test {
 protected:
  AdminServerTest() { EXPECT_TRUE(server_.Start()) << server_.last_reason(); }

  std::optional<HttpResponse> Send(const HttpRequest& request) {
    return HttpConnection(server_.endpoint()).Call(request);
  }

  AdminServer server_{
      {.listen = {.address = "127.0.0.1"},
       .connections = 2,
       .header_bytes = 1024,
       .body_bytes = 4096,
       .handle = [](const AdminRequest& request, const AdminRespond& respond) {
         respond({.body = request.method + " " + request.path + " " +
                          request.body});
       }}};
};

using AdminServerHandle = AdminServerTest;
using AdminServerRespond = AdminServerTest;
using AdminServerLimits = AdminServerTest;
using AdminServerStart = AdminServerTest;

TEST_F(AdminServerHandle, PathWithQuery_DecodedWithoutQuery) {
  const auto answer = Send({.method = "PUT",
                            .target = "/v1/a%20b?x=1",
                            .fields = {{"host", "node"}},
                            .body = "text"});
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "PUT /v1/a b text");
}

// Guards against a thread that falls behind its listener: it must take what
// waits at once, also from targets that have ended since.
TEST_F(AdminServerHandle, ConnectionsWaitBehindOne_AllAreHandled) {
  constexpr unsigned kWaiting = 100;
  std::atomic<unsigned> handled = 0;
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  AdminServer server(
      {.listen = {.address = "127.0.0.1"},
       .connections = 2 * kWaiting,
       .handle = [&](const AdminRequest&, const AdminRespond& respond) {
         released.wait();
         ++handled;
         respond({.body = "done"});
       }});
  ASSERT_TRUE(server.Start());
  const std::string request = "POST /v1/x HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::io_context context;
  for (unsigned index = 0; index <= kWaiting; ++index) {
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address(server.endpoint().address),
                    server.endpoint().port});
    asio::write(socket, asio::buffer(request));
  }
  release.set_value();
  const auto answer = HttpConnection(server.endpoint())
                          .Call({.method = "GET", .target = "/v1/y"});
  ASSERT_TRUE(answer.has_value());
  const MonoTime end = std::chrono::steady_clock::now() + Seconds(5);
  while (handled < kWaiting + 2 && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(Milliseconds(5));
  EXPECT_EQ(handled, kWaiting + 2);
}

// Guards against a session that is destroyed on the thread that drops the
// callback of its request while the server's thread changes the same buffers.
TEST_F(AdminServerRespond, CallbackDropped_SessionEndsOnServerThread) {
  std::promise<AdminRespond> first;
  std::promise<void> blocked;
  std::promise<void> release;
  AdminServer server(
      {.listen = {.address = "127.0.0.1"},
       .handle = [&](const AdminRequest& request, const AdminRespond& respond) {
         if (request.path == "/first") return first.set_value(respond);
         blocked.set_value();
         release.get_future().wait();
         respond({.body = "ok"});
       }});
  ASSERT_TRUE(server.Start()) << server.last_reason();
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect({asio::ip::make_address(server.endpoint().address),
                  static_cast<asio::ip::port_type>(server.endpoint().port)});
  asio::write(socket, asio::buffer(std::string("GET /first HTTP/1.1\r\n\r\n")));
  AdminRespond respond = first.get_future().get();
  std::thread second([&server] {
    HttpConnection(server.endpoint()).Call({.method = "GET", .target = "/"});
  });
  blocked.get_future().wait();
  respond = nullptr;
  socket.non_blocking(true);
  // A close from this thread would be seen at once; the server's thread is
  // blocked.
  std::this_thread::sleep_for(Milliseconds(50));
  char byte = 0;
  boost::system::error_code error;
  socket.read_some(asio::buffer(&byte, 1), error);
  EXPECT_EQ(error, asio::error::would_block);
  release.set_value();
  second.join();
  socket.non_blocking(false);
  socket.read_some(asio::buffer(&byte, 1), error);
  EXPECT_EQ(error, asio::error::eof);
}

TEST_F(AdminServerLimits, BodyTooLong_413) {
  const auto answer = Send({.method = "PUT",
                            .target = "/",
                            .fields = {{"host", "node"}},
                            .body = std::string(5000, 'x')});
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 413);
}

TEST_F(AdminServerLimits, HeadersTooLong_431) {
  const auto answer = Send({.method = "GET",
                            .target = "/",
                            .fields = {{"x-long", std::string(2000, 'x')}}});
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 431);
}

TEST_F(AdminServerLimits, MalformedTarget_400) {
  const auto answer = Send({.method = "GET", .target = "/%zz"});
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 400);
}

TEST_F(AdminServerLimits, TooManyConnections_RefusedAndCounted) {
  HttpConnection first(server_.endpoint());
  HttpConnection second(server_.endpoint());
  ASSERT_TRUE(first.Call({.method = "GET", .target = "/"}).has_value());
  ASSERT_TRUE(second.Call({.method = "GET", .target = "/"}).has_value());
  EXPECT_FALSE(Send({.method = "GET", .target = "/"}).has_value());
  EXPECT_EQ(server_.connections_refused(), 1U);
}

// Guards against bodies of legal size that together exceed the memory of a
// small host.
TEST_F(AdminServerLimits, BodyWithoutBuffers_503) {
  AdminServer server(
      {.listen = {.address = "127.0.0.1"},
       .header_bytes = 1024,
       .body_bytes = 1024 * 1024,
       .buffer_bytes = 100 * 1024,
       .handle = [](const AdminRequest&, const AdminRespond& respond) {
         respond({.body = "ok"});
       }});
  ASSERT_TRUE(server.Start()) << server.last_reason();
  const auto answer = HttpConnection(server.endpoint())
                          .Call({.method = "PUT",
                                 .target = "/",
                                 .fields = {{"host", "node"}},
                                 .body = std::string(200 * 1024, 'x')});
  EXPECT_TRUE(!answer.has_value() || answer->status == 503);
  EXPECT_EQ(server.buffers_refused(), 1U);
  EXPECT_TRUE(HttpConnection(server.endpoint())
                  .Call({.method = "GET", .target = "/"})
                  .has_value());
}

// Guards against silent connections that lock readiness probes out until their
// timeout, here 30 s.
TEST_F(AdminServerLimits, SilentConnectionsHoldAllPlaces_YieldToNewOnes) {
  HttpConnection first(server_.endpoint());
  HttpConnection second(server_.endpoint());
  ASSERT_TRUE(first.Call({.method = "GET", .target = "/"}).has_value());
  ASSERT_TRUE(second.Call({.method = "GET", .target = "/"}).has_value());
  bool served = false;
  for (int attempt = 0; attempt < 200 && !served; ++attempt) {
    served = Send({.method = "GET", .target = "/"}).has_value();
    if (!served) std::this_thread::sleep_for(Milliseconds(20));
  }
  EXPECT_TRUE(served);
  EXPECT_EQ(server_.connections_yielded(), 1U);
}

TEST_F(AdminServerStart, AddressInUse_ReasonContainsAddress) {
  AdminServer other(
      {.listen = server_.endpoint(),
       .handle = [](const AdminRequest&, const AdminRespond&) {}});
  EXPECT_FALSE(other.Start());
  EXPECT_NE(other.last_reason().find(server_.endpoint().ToString()),
            std::string::npos);
}

}  // namespace
}  // namespace camphor

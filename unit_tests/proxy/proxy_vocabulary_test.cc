#include <algorithm>
#include <boost/asio.hpp>
#include <cctype>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

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

  explicit ScriptedTarget(Script script)
      : script_(std::move(script)),
        acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}) {
    accepting_ = std::thread([this] { Accept(); });
  }

  ~ScriptedTarget() {
    stopping_ = true;
    boost::system::error_code ignored;
    Tcp::socket wake(io_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    accepting_.join();
    {
      const std::scoped_lock lock(closing_);
      for (Tcp::socket& socket : sockets_)
        socket.shutdown(Tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& thread : threads_) thread.join();
  }

  Endpoint endpoint() const {
    return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }

 private:
  void Accept() {
    while (true) {
      Tcp::socket& socket = sockets_.emplace_back(acceptor_.accept());
      if (stopping_) return;
      threads_.emplace_back([this, &socket] { Serve(socket); });
    }
  }

  void Serve(Tcp::socket& socket) {
    std::string buffer;
    boost::system::error_code error;
    while (true) {
      const std::size_t size = asio::read_until(
          socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
      if (error) return;
      const ScriptedResponse response = script_(buffer.substr(0, size));
      buffer.erase(0, size);
      asio::write(socket, asio::buffer(response.bytes), error);
      if (response.reset) {
        const std::scoped_lock lock(closing_);
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
        return;
      }
      if (response.close) {
        socket.shutdown(Tcp::socket::shutdown_both, error);
        return;
      }
    }
  }

  Script script_;
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::mutex closing_;  ///< serializes closing of sockets
  std::list<Tcp::socket> sockets_;
  std::list<std::thread> threads_;
  std::thread accepting_;
};

/// Returns a header's value in the text of a request; empty when absent.
std::string FindHeaderValue(const std::string& request,
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

std::string MakeResponse(const std::string& status, const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Callers and targets use header names configured for the process.
class ProxyVocabulary : public TwoHosts {
 protected:
  ProxyVocabulary() {
    vocabulary_ = {.deadline = "T-Deadline",
                   .attempt = {},
                   .request_id = "T-Id",
                   .expected_target = "T-Expected",
                   .caller_pool = "T-Caller",
                   .not_run = "T-Not-Run",
                   .receipt = "T-Receipt",
                   .plain_bodies = true,
                   .unframed_responses = true,
                   .fractional_retry_after = true};
  }

  void Start(const std::string& host, ScriptedTarget::Script script) {
    target_.emplace(std::move(script));
    AddTargetAt(host, "t1", target_->endpoint());
    StartHosts({.retry_after = Milliseconds(50)});
  }

  void TearDown() override {
    TwoHosts::TearDown();
    target_.reset();
  }

  std::optional<HttpResponse> Get(const std::string& id) {
    return Call({.method = "GET",
                 .target = "/post/x",
                 .fields = {{"t-id", id}, {"t-deadline", "2000"}}});
  }

  std::optional<ScriptedTarget> target_;
};

TEST_F(ProxyVocabulary, TargetOfAnotherHost_ReceivesHeadersSetByTheProxies) {
  std::string seen;
  Start("h2", [&](const std::string& request) -> ScriptedResponse {
    seen = request;
    return {MakeResponse("200 OK", "T-Id: a\r\nT-Receipt: r\r\n", "body")};
  });
  const auto response = Call({.method = "GET",
                              .target = "/post/x",
                              .fields = {{"t-id", "a"},
                                         {"t-deadline", "2000"},
                                         {"t-caller", "forged"},
                                         {"t-expected", "forged"}}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "body");
  EXPECT_EQ(response->fields.at("t-receipt"), "r");
  EXPECT_EQ(FindHeaderValue(seen, "T-Expected"), "t1");
  EXPECT_EQ(FindHeaderValue(seen, "T-Caller"), "callers");
  const int left = std::stoi(FindHeaderValue(seen, "T-Deadline"));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 2000);
  EXPECT_EQ(seen.find("X-Camphor-"), std::string::npos);
}

TEST_F(ProxyVocabulary, LateResponseToAnotherRequest_IsSkipped) {
  Start("h1", [](const std::string& request) -> ScriptedResponse {
    const std::string id = FindHeaderValue(request, "T-Id");
    return {
        MakeResponse("200 OK", "T-Id: earlier\r\nT-Receipt: r\r\n", "wrong") +
        MakeResponse("200 OK", "T-Id: " + id + "\r\nT-Receipt: r\r\n",
                     "right")};
  });
  for (const char* id : {"one", "two"}) {
    const auto response = Get(id);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "right");
    EXPECT_EQ(response->fields.at("t-id"), id);
  }
}

TEST_F(ProxyVocabulary, SuccessWithoutReceipt_IsRejected) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("200 OK", "T-Id: a\r\n", "body")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
  EXPECT_FALSE(response->fields.contains("t-id"));
}

TEST_F(ProxyVocabulary, SuccessWithoutRequestId_IsRejected) {
  Start("h1", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("200 OK", "T-Receipt: r\r\n", "body")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
}

TEST_F(ProxyVocabulary, EncodedResponse_IsRejected) {
  Start("h1", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse(
        "200 OK", "T-Id: a\r\nT-Receipt: r\r\nContent-Encoding: gzip\r\n",
        "body")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
}

TEST_F(ProxyVocabulary, TargetFailure_IsRelayedWithItsReceipt) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("500 Internal Server Error",
                         "T-Id: a\r\nT-Receipt: r\r\n", "why")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 500);
  EXPECT_EQ(response->body, "why");
  EXPECT_EQ(response->fields.at("t-receipt"), "r");
}

TEST_F(ProxyVocabulary, MisdirectedRequest_IsRefusedAsNotRun) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("421 Misdirected Request", "", "")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "refused");
  EXPECT_EQ(response->fields.at("retry-after"), "0.050");
}

TEST_F(ProxyVocabulary, ResponseDelimitedByClose_IsRelayedCompletely) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {"HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Receipt: r\r\n\r\nall of it",
            true};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "all of it");
}

TEST_F(ProxyVocabulary, ResponseEndedByReset_IsNotComplete) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {.bytes = "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Receipt: r\r\n\r\npart",
            .reset = true};
  });
  const auto response = Get("a");
  EXPECT_TRUE(!response || response->status == 502);
}

TEST_F(ProxyVocabulary, BodyOverTheConfiguredLimit_IsRefused) {
  caller_limits_.body_bytes = 8;
  Start("h1", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("200 OK", "T-Id: a\r\nT-Receipt: r\r\n", "")};
  });
  const auto response =
      Call({.method = "POST", .target = "/post/x", .body = "more than that"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 413);
}

}  // namespace
}  // namespace camphor

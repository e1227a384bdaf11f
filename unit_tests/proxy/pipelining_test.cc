#include <rapidcheck.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <condition_variable>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

#include "unit_tests/proxy/scripted_target.h"
#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kTimeout{20};

std::string Get(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

std::string Post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
}

/// Returns the position behind the `count`th response, which must have a
/// Content-Length; npos if the text does not hold as many.
std::size_t EndOfResponses(const std::string& text, std::size_t count) {
  std::size_t at = 0;
  for (std::size_t response = 0; response < count; ++response) {
    const std::size_t body = text.find("\r\n\r\n", at);
    if (body == std::string::npos) return body;
    const std::string header = text.substr(at, body - at);
    at = body + 4 + std::stoul(FindHeaderValue(header, "Content-Length"));
    if (at > text.size()) return std::string::npos;
  }
  return at;
}

/// A caller that writes bytes and reads responses independently.
class RawCaller {
 public:
  explicit RawCaller(const Endpoint& proxy) : socket_(io_) {
    socket_.connect({asio::ip::make_address(proxy.address), proxy.port});
  }

  void Send(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }

  /// Reads that many responses and returns their text.
  std::string ReadResponses(std::size_t count) {
    boost::system::error_code error;
    while (!error && EndOfResponses(text_, count) == std::string::npos) {
      std::array<char, 4096> chunk{};
      text_.append(chunk.data(), socket_.read_some(asio::buffer(chunk), error));
    }
    return text_;
  }

  /// Reads until the text ends with the given one, or the connection ends.
  std::string ReadUntil(const std::string& end) {
    boost::system::error_code error;
    while (!error && !text_.ends_with(end)) {
      std::array<char, 4096> chunk{};
      text_.append(chunk.data(), socket_.read_some(asio::buffer(chunk), error));
    }
    return text_;
  }

  /// Reads until the connection ends and returns all that was received.
  std::string ReadToEnd() {
    boost::system::error_code error;
    asio::read(socket_, asio::dynamic_buffer(text_), error);
    return text_;
  }

  void Close() { socket_.close(); }

 private:
  asio::io_context io_;
  tcp::socket socket_;
  std::string text_;
};

/// Targets hold requests until the test releases them by their path.
class PipeliningTest : public TwoHosts {
 protected:
  void TearDown() override {
    {
      const std::scoped_lock lock(held_mutex_);
      held_.clear();
    }
    TwoHosts::TearDown();
  }

  void AddHoldingTarget(const std::string& host = "h2") {
    pool_.slots_per_target = 64;
    AddTarget(host, "t1", [this](const HttpExchange& exchange) {
      const std::scoped_lock lock(held_mutex_);
      paths_.push_back(exchange.request().target);
      held_.emplace(exchange.request().target, exchange);
      held_changed_.notify_all();
    });
  }

  bool WaitForRuns(std::size_t count) {
    std::unique_lock lock(held_mutex_);
    return held_changed_.wait_for(lock, kTimeout,
                                  [&] { return paths_.size() >= count; });
  }

  std::size_t runs() {
    const std::scoped_lock lock(held_mutex_);
    return paths_.size();
  }

  bool WasRun(const std::string& path) {
    const std::scoped_lock lock(held_mutex_);
    return std::ranges::find(paths_, path) != paths_.end();
  }

  /// Answers a held request with its path, followed by padding.
  void Release(const std::string& path, std::size_t padding = 0) {
    targets_["t1"]->After(Milliseconds(0), [this, path, padding] {
      const std::scoped_lock lock(held_mutex_);
      held_.at(path).Respond({.body = path + std::string(padding, '.')});
    });
  }

  bool WaitUntilCancelled(const std::string& path) {
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    std::atomic<bool> cancelled = false;
    while (!cancelled && std::chrono::steady_clock::now() < deadline) {
      std::promise<void> asked;
      targets_["t1"]->After(Milliseconds(1), [&] {
        const std::scoped_lock lock(held_mutex_);
        cancelled = held_.at(path).cancelled();
        asked.set_value();
      });
      asked.get_future().wait();
    }
    return cancelled;
  }

  bool WaitForDump(const std::string& host, const std::string& text) {
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
      if (proxies_[host]->DumpJson().find(text) != std::string::npos)
        return true;
      std::this_thread::yield();
    }
    return false;
  }

  RawCaller ConnectCaller() {
    return RawCaller(proxies_["h1"]->caller_endpoint());
  }

  std::mutex held_mutex_;
  std::condition_variable held_changed_;
  std::map<std::string, HttpExchange> held_;
  std::vector<std::string> paths_;
};

TEST_F(PipeliningTest, RepeatableRequests_RunAtTheSameTime) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2") + Get("/get/3"));
  EXPECT_TRUE(WaitForRuns(3));
  EXPECT_EQ(Metric("h1", "pipelined_requests"), 2U);
}

TEST_F(PipeliningTest, AnyOrderOfCompletion_ResponsesKeepOrderOfRequests) {
  constexpr std::size_t kRequests = 8;
  AddHoldingTarget();
  StartHosts();
  int round = 0;
  EXPECT_TRUE(rc::check([&] {
    std::vector<std::size_t> order(kRequests);
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t left = kRequests; left > 1; --left)
      std::swap(order[left - 1],
                order[*rc::gen::inRange<std::size_t>(0, left)]);
    const auto paddings = *rc::gen::container<std::vector<std::size_t>>(
        kRequests, rc::gen::inRange<std::size_t>(0, 40'000));
    const auto path = [&](std::size_t number) {
      return "/get/" + std::to_string(round) + "-" + std::to_string(number);
    };
    ++round;
    std::string requests;
    for (std::size_t number = 0; number < kRequests; ++number)
      requests += Get(path(number));
    const std::size_t runs_before = runs();
    RawCaller caller = ConnectCaller();
    caller.Send(requests);
    RC_ASSERT(WaitForRuns(runs_before + kRequests));
    for (const std::size_t number : order)
      Release(path(number), paddings[number]);
    const std::string text = caller.ReadResponses(kRequests);
    std::size_t at = 0;
    for (std::size_t number = 0; number < kRequests; ++number) {
      RC_ASSERT(text.compare(at, 12, "HTTP/1.1 200") == 0);
      const std::size_t body = text.find("\r\n\r\n", at) + 4;
      RC_ASSERT(text.compare(body, path(number).size(), path(number)) == 0);
      at = EndOfResponses(text.substr(0), number + 1);
    }
    RC_ASSERT(at == text.size());
  }));
  EXPECT_TRUE(WaitForDump("h1", R"("buffered_response_bytes":0)"));
}

TEST_F(PipeliningTest, RequestThatMustNotBeRepeated_StartsAfterAllEarlierOnes) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2") + Post("/post/3"));
  ASSERT_TRUE(WaitForRuns(2));
  Release("/get/2");
  Release("/get/1");
  caller.ReadResponses(2);
  ASSERT_TRUE(WaitForRuns(3));
  Release("/post/3");
  const std::string text = caller.ReadResponses(3);
  EXPECT_TRUE(text.ends_with("/post/3")) << text;
}

TEST_F(PipeliningTest,
       EarlierResponsePending_NonRepeatableRequestIsNotStarted) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Post("/post/2"));
  ASSERT_TRUE(WaitForRuns(1));
  // Another caller's request passes through the same hosts meanwhile.
  RawCaller other = ConnectCaller();
  other.Send(Post("/post/other"));
  ASSERT_TRUE(WaitForRuns(2));
  EXPECT_FALSE(WasRun("/post/2"));
  Release("/get/1");
  EXPECT_TRUE(WaitForRuns(3));
}

TEST_F(PipeliningTest, CallerLeaves_CancelsAllAndStartsNoWaitingOne) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2") + Post("/post/3"));
  ASSERT_TRUE(WaitForRuns(2));
  caller.Close();
  RawCaller other = ConnectCaller();
  other.Send(Post("/post/other"));
  ASSERT_TRUE(WaitForRuns(3));
  Release("/get/1");
  EXPECT_TRUE(WaitUntilCancelled("/get/2"));
  Release("/post/other");
  other.ReadResponses(1);
  EXPECT_TRUE(WaitForDump("h1", R"("in_flight":0)"));
  EXPECT_FALSE(WasRun("/post/3"));
}

TEST_F(PipeliningTest, CallerLeavesIdleReader_CancelsBothRunningRequests) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2"));
  ASSERT_TRUE(WaitForRuns(2));
  caller.Close();
  EXPECT_TRUE(WaitUntilCancelled("/get/1"));
  EXPECT_TRUE(WaitUntilCancelled("/get/2"));
}

TEST_F(PipeliningTest, MoreThanTheLimit_RunInTurnAndNoneIsDropped) {
  constexpr std::uint32_t kLimit = 4;
  constexpr std::size_t kRequests = 10;
  AddHoldingTarget();
  StartHosts({.pipelined_requests = kLimit});
  RawCaller caller = ConnectCaller();
  std::string requests;
  for (std::size_t number = 0; number < kRequests; ++number)
    requests += Get("/get/" + std::to_string(number));
  caller.Send(requests);
  for (std::size_t number = 0; number < kRequests; ++number) {
    ASSERT_TRUE(WaitForRuns(std::min(number + kLimit, kRequests)));
    EXPECT_LE(runs(), number + kLimit);
    Release("/get/" + std::to_string(number));
    caller.ReadResponses(number + 1);
  }
}

TEST_F(PipeliningTest, ResponseOverTheBufferLimit_FollowsTheEarlierOne) {
  constexpr std::size_t kPadding = 300'000;
  AddHoldingTarget();
  StartHosts({.buffered_response_bytes = 32 * 1024});
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2") + Get("/get/3"));
  ASSERT_TRUE(WaitForRuns(3));
  Release("/get/2", kPadding);
  Release("/get/3", kPadding);
  Release("/get/1");
  const std::string text = caller.ReadResponses(3);
  EXPECT_EQ(EndOfResponses(text, 3), text.size());
  EXPECT_GT(text.size(), 2 * kPadding);
  EXPECT_TRUE(WaitForDump("h1", R"("buffered_response_bytes":0)"));
}

TEST_F(PipeliningTest, CallerReadsNothing_BufferedBytesStayWithinTheLimit) {
  constexpr std::size_t kLimit = 64 * 1024;
  constexpr int kCallers = 3;  // together above the limit of the proxy
  constexpr std::size_t kPadding = 4'000'000;
  constexpr Milliseconds kReadLater{120'000};  // longer than the test
  for (RouteRule& route : routes_) route.timeout = kReadLater;
  AddHoldingTarget();
  StartHosts({.buffered_response_bytes = kLimit,
              .buffered_response_bytes_by_proxy = 2 * kLimit,
              .body_timeout = kReadLater});
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int number = 0; number < kCallers; ++number) {
    const std::string name = "/get/" + std::to_string(number);
    callers.push_back(
        std::make_unique<RawCaller>(proxies_["h1"]->caller_endpoint()));
    callers.back()->Send(Get(name + "a") + Get(name + "b"));
  }
  ASSERT_TRUE(WaitForRuns(2 * kCallers));
  for (int number = 0; number < kCallers; ++number) {
    Release("/get/" + std::to_string(number) + "b", kPadding);
    Release("/get/" + std::to_string(number) + "a", kPadding);
  }
  const std::string key = R"("buffered_response_bytes":)";
  for (int sample = 0; sample < 50; ++sample) {
    const std::string dump = proxies_["h1"]->DumpJson();
    const std::size_t at = dump.find(key);
    ASSERT_NE(at, std::string::npos);
    EXPECT_LE(std::stoul(dump.substr(at + key.size())), 2 * kLimit);
  }
  for (const auto& caller : callers) {
    const std::string text = caller->ReadResponses(2);
    EXPECT_EQ(EndOfResponses(text, 2), text.size());
  }
}

TEST_F(PipeliningTest, LaterRequestHasNoRoute_ItsErrorKeepsItsPlace) {
  routes_.pop_back();  // the one for all other paths
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/none") + Get("/get/3"));
  ASSERT_TRUE(WaitForRuns(2));
  Release("/get/3");
  Release("/get/1");
  const std::string text = caller.ReadResponses(3);
  const std::size_t second = EndOfResponses(text, 1);
  const std::size_t third = EndOfResponses(text, 2);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(text.substr(second).starts_with("HTTP/1.1 404")) << text;
  EXPECT_TRUE(text.substr(third).ends_with("/get/3")) << text;
}

TEST_F(PipeliningTest, ErrorForHeadRequest_HasNoBody) {
  routes_.pop_back();  // the one for all other paths
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send("HEAD /none HTTP/1.1\r\nHost: a\r\n\r\n" + Get("/get/2"));
  ASSERT_TRUE(WaitForRuns(1));
  Release("/get/2");
  const std::string text = caller.ReadUntil("/get/2");
  const std::size_t second = text.find("\r\n\r\n") + 4;
  EXPECT_TRUE(text.starts_with("HTTP/1.1 404")) << text;
  EXPECT_TRUE(text.substr(second).starts_with("HTTP/1.1 200")) << text;
}

TEST_F(PipeliningTest, ErrorForHeadRequestOfAnotherHost_ConnectionStaysInStep) {
  AddHoldingTarget();
  StartHosts();
  proxies_["h2"]->BeginDrain();  // it refuses, with its own error response
  ASSERT_TRUE(WaitForDump("h2", R"("draining":true)"));
  RawCaller caller = ConnectCaller();
  caller.Send("HEAD /post/1 HTTP/1.1\r\nHost: a\r\n\r\n" + Get("/none"));
  const std::string text = caller.ReadUntil("not_run\":true}");
  const std::size_t second = text.find("\r\n\r\n") + 4;
  EXPECT_TRUE(text.starts_with("HTTP/1.1 503")) << text;
  EXPECT_TRUE(text.substr(second).starts_with("HTTP/1.1 503")) << text;
}

TEST_F(PipeliningTest, MalformedBytesBehindRequest_BothGetTheirOwnAnswer) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + "no request at all\r\n\r\n" + Get("/get/2"));
  ASSERT_TRUE(WaitForRuns(1));
  Release("/get/1");
  const std::string text = caller.ReadToEnd();
  const std::size_t second = EndOfResponses(text, 1);
  EXPECT_TRUE(text.starts_with("HTTP/1.1 200")) << text;
  EXPECT_TRUE(text.substr(second).starts_with("HTTP/1.1 400")) << text;
  EXPECT_EQ(EndOfResponses(text, 2), text.size()) << text;
  EXPECT_FALSE(WasRun("/get/2"));
}

// Guards against a malformed body that is taken for a disconnect, which cuts
// off the responses of earlier requests.
TEST_F(PipeliningTest, MalformedBodyBehindRequest_BothGetTheirOwnAnswer) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") +
              "POST /get/2 HTTP/1.1\r\nHost: a\r\n"
              "Transfer-Encoding: chunked\r\n\r\nno size\r\n");
  ASSERT_TRUE(WaitForRuns(1));
  Release("/get/1");
  const std::string text = caller.ReadToEnd();
  ASSERT_TRUE(text.starts_with("HTTP/1.1 200")) << text;
  const std::size_t second = EndOfResponses(text, 1);
  ASSERT_NE(second, std::string::npos) << text;
  EXPECT_TRUE(text.substr(second).starts_with("HTTP/1.1 400")) << text;
  EXPECT_EQ(EndOfResponses(text, 2), text.size()) << text;
  EXPECT_FALSE(WasRun("/get/2"));
}

TEST_F(PipeliningTest, RequestAsksToClose_NothingBehindItIsRun) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2", "Connection: close\r\n") +
              Get("/get/3"));
  ASSERT_TRUE(WaitForRuns(2));
  Release("/get/2");
  Release("/get/1");
  const std::string text = caller.ReadToEnd();
  EXPECT_EQ(EndOfResponses(text, 2), text.size()) << text;
  EXPECT_FALSE(WasRun("/get/3"));
}

TEST_F(PipeliningTest, HostDrains_LastResponseClosesTheConnection) {
  AddHoldingTarget();
  StartHosts();
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2"));
  ASSERT_TRUE(WaitForRuns(2));
  proxies_["h1"]->BeginDrain();
  ASSERT_TRUE(WaitForDump("h1", R"("draining":true)"));
  Release("/get/1");
  caller.ReadResponses(1);
  Release("/get/2");
  const std::string text = caller.ReadToEnd();
  ASSERT_EQ(EndOfResponses(text, 2), text.size()) << text;
  const std::size_t second = EndOfResponses(text, 1);
  EXPECT_EQ(FindHeaderValue(text.substr(0, second), "Connection"), "");
  EXPECT_EQ(FindHeaderValue(text.substr(second), "Connection"), "close");
}

// A scripted target that answers at once; its responses on one path break off.
class BrokenPipelineTest : public PipeliningTest {
 protected:
  void Start(const std::string& broken_path, std::size_t length) {
    scripted_.emplace([broken_path, length](const std::string& request) {
      if (request.find(broken_path + " ") != std::string::npos)
        return ScriptedResponse{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                         std::to_string(length) +
                                         "\r\n\r\nhalf",
                                .close = true};
      return ScriptedResponse{.bytes = MakeResponse("200 OK", "", "whole")};
    });
    AddTargetAt("h1", "t1", scripted_->endpoint());
    StartHosts();
  }

  void TearDown() override {
    PipeliningTest::TearDown();
    scripted_.reset();
  }

  std::optional<ScriptedTarget> scripted_;
};

constexpr std::size_t kSmallResponse = 100;
constexpr std::size_t kLargeResponse = 100'000;

TEST_F(BrokenPipelineTest, SmallResponseBreaksOff_OthersAreAnswered) {
  Start("/post/1", kSmallResponse);
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/post/1") + Get("/get/2") + Get("/get/3"));
  const std::string text = caller.ReadResponses(3);
  ASSERT_EQ(EndOfResponses(text, 3), text.size()) << text;
  EXPECT_TRUE(text.starts_with("HTTP/1.1 502")) << text;
  EXPECT_TRUE(text.substr(0, EndOfResponses(text, 2)).ends_with("whole"));
  EXPECT_TRUE(text.ends_with("whole")) << text;
}

TEST_F(BrokenPipelineTest, FirstResponseBreaksOff_ConnectionEndsBehindIt) {
  Start("/get/1", kLargeResponse);
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2"));
  const std::string text = caller.ReadToEnd();
  EXPECT_EQ(EndOfResponses(text, 1), std::string::npos) << text;
  EXPECT_EQ(text.find("whole"), std::string::npos) << text;
}

TEST_F(BrokenPipelineTest, LaterResponseBreaksOff_EarlierOneIsComplete) {
  Start("/get/2", kLargeResponse);
  RawCaller caller = ConnectCaller();
  caller.Send(Get("/get/1") + Get("/get/2") + Get("/get/3"));
  const std::string text = caller.ReadResponses(2);
  ASSERT_NE(EndOfResponses(text, 1), std::string::npos) << text;
  EXPECT_TRUE(text.substr(0, EndOfResponses(text, 1)).ends_with("whole"));
  const std::string rest = text.substr(EndOfResponses(text, 1));
  EXPECT_FALSE(rest.starts_with("HTTP/1.1 200") &&
               EndOfResponses(rest, 1) != std::string::npos)
      << text;
}

}  // namespace
}  // namespace camphor

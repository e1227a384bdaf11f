#include <algorithm>
#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <string>
#include <thread>

#include "unit_tests/proxy/raw_target.h"
#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

/// A target that holds requests until the test responds to them.
class DelayedTarget {
 public:
  void Handle(const HttpExchange& exchange) {
    const std::scoped_lock lock(mutex_);
    held_.push_back(exchange);
    changed_.notify_all();
  }

  void WaitForHeldRequests(std::size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return held_.size() >= count; });
  }

  std::size_t held() {
    const std::scoped_lock lock(mutex_);
    return held_.size();
  }

  /// Responds to all held requests. @pre runs on the server's thread.
  void RespondToAll() {
    const std::scoped_lock lock(mutex_);
    for (const HttpExchange& exchange : held_) exchange.Respond({.body = "ok"});
    held_.clear();
  }

  void Clear() {
    const std::scoped_lock lock(mutex_);
    held_.clear();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<HttpExchange> held_;
};

class ProxyFaultsTest : public TwoHosts {
 protected:
  /// Sends a request to h1 that the target holds. @pre it is the first one.
  boost::asio::ip::tcp::socket SendHeldRequest(boost::asio::io_context& io) {
    const Endpoint proxy = proxies_["h1"]->caller_endpoint();
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({boost::asio::ip::make_address(proxy.address), proxy.port});
    const std::string request =
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    delayed_target_.WaitForHeldRequests(1);
    return caller;
  }

  void TearDown() override {
    delayed_target_.Clear();
    TwoHosts::TearDown();
  }

  void AddDelayedTarget(const std::string& host, const std::string& id) {
    AddTarget(host, id, [this](const HttpExchange& exchange) {
      delayed_target_.Handle(exchange);
    });
  }

  void Release(const std::string& id) {
    targets_[id]->After(Milliseconds(0),
                        [this] { delayed_target_.RespondToAll(); });
  }

  std::future<std::optional<HttpResponse>> StartCall(HttpRequest request) {
    return std::async(std::launch::async, [this, request = std::move(request)] {
      return Call(request);
    });
  }

  /// Waits until a host's dump contains the text.
  void WaitForDump(const std::string& host, const std::string& text) {
    while (proxies_[host]->DumpJson().find(text) == std::string::npos) {
      std::this_thread::yield();
    }
  }

  /// Returns the address of a closed port, like that of a target that died.
  static Endpoint ClosedEndpoint() {
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
  }

  DelayedTarget delayed_target_;
};

TEST_F(ProxyFaultsTest, SlotsAndQueueTaken_IsRefusedNotRun) {
  pool_.slots_per_target = 1;
  pool_.queue_per_target = 1;
  AddDelayedTarget("h2", "t1");
  StartHosts();
  auto running = StartCall({.method = "POST", .target = "/a"});
  delayed_target_.WaitForHeldRequests(1);
  auto waiting = StartCall({.method = "POST", .target = "/b"});
  WaitForDump("h2", R"("waiting":1)");
  const auto refused = Call({.method = "POST", .target = "/c"});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(refused->fields.at("x-camphor-reason"), "full");
  EXPECT_EQ(delayed_target_.held(), 1U);
  Release("t1");
  EXPECT_EQ(running.get()->status, 200);
  delayed_target_.WaitForHeldRequests(1);
  Release("t1");
  EXPECT_EQ(waiting.get()->status, 200);
}

TEST_F(ProxyFaultsTest, DeadlineInQueue_IsRefusedNotRun) {
  pool_.slots_per_target = 1;
  AddDelayedTarget("h2", "t1");
  StartHosts();
  auto running = StartCall({.method = "POST", .target = "/a"});
  delayed_target_.WaitForHeldRequests(1);
  const auto refused = Call({.method = "POST",
                             .target = "/b",
                             .fields = {{"x-camphor-deadline-ms", "100"}}});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(delayed_target_.held(), 1U);
  Release("t1");
  EXPECT_EQ(running.get()->status, 200);
}

TEST_F(ProxyFaultsTest, CallerDisconnects_TargetIsCancelled) {
  AddDelayedTarget("h2", "t1");
  StartHosts();
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket caller = SendHeldRequest(io);
  caller.close();
  WaitForDump("h2", R"("running":0)");
  WaitForDump("h1", R"("in_flight":0)");
}

TEST_F(ProxyFaultsTest, CallerDisconnectsAfterLatencyTarget_CountsAsTimeout) {
  for (RouteRule& route : routes_) route.target_latency = Milliseconds(30);
  AddDelayedTarget("h2", "t1");
  StartHosts();
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket caller = SendHeldRequest(io);
  boost::asio::steady_timer(io, Milliseconds(60)).wait();
  caller.close();
  WaitForDump("h1", R"("in_flight":0)");
  EXPECT_EQ(Samples(RequestOutcome::kTimeout), 1U);
  EXPECT_EQ(Samples(RequestOutcome::kCancelled), 0U);
}

TEST_F(ProxyFaultsTest, StopIfIdle_AbortsNoRequestInFlight) {
  std::atomic<int> run{0};
  AddTarget("h1", "t1", [&run](const HttpExchange& exchange) {
    ++run;
    exchange.Respond({.status = 200});
  });
  StartHosts();
  std::atomic<int> answered{0};
  std::thread caller([this, &answered] {
    HttpConnection connection(proxies_["h1"]->caller_endpoint());
    const HttpRequest request{.method = "GET", .target = "/get"};
    while (const auto response =
               connection.Call(request, Milliseconds(5'000))) {
      EXPECT_EQ(response->status, 200) << response->body;
      ++answered;
    }
  });
  while (answered < 20) std::this_thread::yield();
  while (!proxies_["h1"]->StopIfIdle()) std::this_thread::yield();
  caller.join();
  EXPECT_EQ(run, answered);
}

TEST_F(ProxyFaultsTest, Drain_CompletesRequestsInFlight) {
  AddDelayedTarget("h2", "t1");
  StartHosts();
  auto running = StartCall({.method = "POST", .target = "/a"});
  delayed_target_.WaitForHeldRequests(1);
  proxies_["h1"]->BeginDrain();
  proxies_["h2"]->BeginDrain();
  WaitForDump("h1", R"("draining":true)");
  WaitForDump("h2", R"("draining":true)");
  EXPECT_FALSE(Call({.method = "POST", .target = "/b"}));
  Release("t1");
  const auto response = running.get();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "ok");
  EXPECT_EQ(response->fields.at("connection"), "close");
}

class ProxyStopTimeTest : public ProxyFaultsTest {
 protected:
  /// Sends a request with a deadline to h1 while a host is going to stop.
  std::optional<HttpResponse> CallBeforeStop(const std::string& stopping_host,
                                             const std::string& deadline_ms) {
    vocabulary_.deadline = "T-Deadline";
    AddTarget("h2", "t1", [this](const HttpExchange& exchange) {
      ++runs_;
      exchange.Respond({.body = "ok"});
    });
    StartHosts();
    proxies_[stopping_host]->SetStopTime(std::chrono::steady_clock::now() +
                                         Milliseconds(3000));
    return Call({.method = "POST",
                 .target = "/a",
                 .fields = {{"t-deadline", deadline_ms}}});
  }

  std::atomic<int> runs_ = 0;
};

TEST_F(ProxyStopTimeTest, RequestMayOutlastCallersHost_IsRefusedNotRun) {
  const auto refused = CallBeforeStop("h1", "3500");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(refused->fields.at("connection"), "close");
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyStopTimeTest, RequestMayOutlastTargetsHost_IsRefusedNotRun) {
  const auto refused = CallBeforeStop("h2", "4000");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyStopTimeTest, RequestEndsInTime_IsServed) {
  const auto response = CallBeforeStop("h1", "1000");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(runs_, 1);
}

TEST_F(ProxyFaultsTest, TargetHostDrains_IsRefusedNotRun) {
  AddDelayedTarget("h2", "t1");
  StartHosts();
  proxies_["h2"]->BeginDrain();
  WaitForDump("h2", R"("draining":true)");
  const auto refused = Call({.method = "POST", .target = "/a"});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(delayed_target_.held(), 0U);
}

TEST_F(ProxyFaultsTest, TargetGone_AnotherTargetIsUsed) {
  AddTargetAt("h2", "dead", ClosedEndpoint());
  AddTarget("h2", "t1", [](const HttpExchange& exchange) {
    exchange.Respond({.body = "ok"});
  });
  StartHosts();
  for (int call = 0; call < 4; ++call) {
    const auto response = Call({.method = "POST", .target = "/a"});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
  }
}

TEST_F(ProxyFaultsTest, HostSilent_IsDetectedBeforeTheDeadline) {
  // A listener that accepts connections and never responds.
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor silent(
      io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  StartHosts({.connect_timeout = Milliseconds(50)});
  {
    const std::scoped_lock lock(mutex_);
    auto routing = *routings_["h1"];
    routing.pools[0].groups[0].targets = {
        {.info = {.id = TargetId("x")},
         .host = HostId("h3"),
         .forward = {.address = "127.0.0.1",
                     .port = silent.local_endpoint().port()}}};
    routings_["h1"] = std::make_shared<const EffectiveRouting>(routing);
  }
  const auto response = Call({.method = "POST", .target = "/a"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->fields.at("x-camphor-not-run"), "true");
}

TEST_F(ProxyFaultsTest, SlowTarget_HeartbeatsKeepTheConnection) {
  AddDelayedTarget("h2", "t1");
  StartHosts(
      {.heartbeat = Milliseconds(10), .silence_timeout = Milliseconds(700)});
  auto running = StartCall({.method = "POST", .target = "/a"});
  delayed_target_.WaitForHeldRequests(1);
  targets_["t1"]->After(Milliseconds(1200),
                        [this] { delayed_target_.RespondToAll(); });
  const auto response = running.get();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(Metric("h1", "silent_connections"), 0U);
}

TEST_F(ProxyFaultsTest, SilentTargetConnection_IsReplacedOnRepeatableRoute) {
  std::atomic<int> calls = 0;
  std::vector<HttpExchange> silent;
  AddTarget("h1", "t1", [&](const HttpExchange& exchange) {
    if (calls++ == 0) {
      silent.push_back(exchange);
    } else {
      exchange.Respond({.body = "ok"});
    }
  });
  AddTarget("h1", "t2", [&](const HttpExchange& exchange) {
    if (calls++ == 0) {
      silent.push_back(exchange);
    } else {
      exchange.Respond({.body = "ok"});
    }
  });
  StartHosts();
  const auto response = Call({.method = "GET",
                              .target = "/get",
                              .fields = {{"x-camphor-deadline-ms", "1000"}}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(calls, 2);
  for (const auto& [id, server] : targets_) server->Stop();
}

TEST_F(ProxyFaultsTest, TruncatedSmallResponse_IsReplacedByAnError) {
  RawTarget target("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  AddTargetAt("h2", "t1", target.endpoint());
  StartHosts();
  auto cut = StartCall({.method = "POST", .target = "/a"});
  while (target.answered() == 0) std::this_thread::yield();
  target.Kill();
  const auto response = cut.get();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
  EXPECT_EQ(response->fields.at("x-camphor-outcome"), "unknown");
  proxies_.clear();
}

TEST_F(ProxyFaultsTest, TruncatedResponse_IsNeverRelayedAsComplete) {
  // A target that dies before it has sent the announced length, which is too
  // long to be read in advance.
  RawTarget target("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc");
  AddTargetAt("h2", "t1", target.endpoint());
  StartHosts();
  auto cut = StartCall({.method = "POST", .target = "/a"});
  while (target.answered() == 0) std::this_thread::yield();
  target.Kill();
  EXPECT_FALSE(cut.get());
  EXPECT_EQ(Metric("h1", "cut_answers"), 1U);
  proxies_.clear();
}

TEST_F(ProxyFaultsTest, ResponseWithoutLength_IsNotRelayed) {
  RawTarget target("HTTP/1.1 200 OK\r\n\r\nabc");
  AddTargetAt("h2", "t1", target.endpoint());
  StartHosts();
  const auto response = Call({.method = "POST", .target = "/a"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "bad_answer");
  proxies_.clear();
}

}  // namespace
}  // namespace camphor

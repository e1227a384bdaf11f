#include "proxy/proxy_server.h"

#include <future>
#include <string>
#include <thread>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

using ProxyServerCall = TwoHosts;

void Echo(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  exchange.Respond(
      {.fields = {{"x-method", request.method},
                  {"x-seen-deadline", request.Field("x-camphor-deadline-ms")}},
       .body = request.body,
       .chunked = !request.Field("x-chunked").empty()});
}

std::string BigBody() {
  std::string body;
  for (int index = 0; index < 200'000; ++index) {
    body += std::to_string(index) + ' ';
  }
  return body;
}

TEST_F(ProxyServerCall, LocalTarget_AnswersInOneHop) {
  AddTarget("h1", "t1", Echo);
  StartHosts();
  const auto response =
      Call({.method = "POST", .target = "/x", .body = "hello"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "hello");
  EXPECT_EQ(response->fields.at("x-camphor-target"), "t1");
  EXPECT_EQ(Metric("h2", "forward_requests"), 0U);
}

TEST_F(ProxyServerCall, RemoteTarget_AnswersInTwoHops) {
  AddTarget("h2", "t1", Echo);
  StartHosts();
  const auto response =
      Call({.method = "POST", .target = "/x", .body = "hello"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "hello");
  EXPECT_FALSE(response->fields.at("x-seen-deadline").empty());
  EXPECT_EQ(Metric("h2", "forward_requests"), 1U);
}

TEST_F(ProxyServerCall, BigBodies_AreStreamedCompletely) {
  AddTarget("h2", "t1", Echo);
  StartHosts();
  const std::string body = BigBody();
  for (const std::string chunked : {"", "1"}) {
    const auto response = Call({.method = "POST",
                                .target = "/x",
                                .fields = {{"x-chunked", chunked}},
                                .body = body});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body == body, true);
  }
}

TEST_F(ProxyServerCall, HeadRequest_GetsNoBody) {
  AddTarget("h2", "t1", Echo);
  StartHosts();
  const auto response = Call({.method = "HEAD", .target = "/get"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->fields.at("x-method"), "HEAD");
}

TEST_F(ProxyServerCall, NoTarget_IsRefusedNotRun) {
  StartHosts();
  const auto response = Call({.method = "GET", .target = "/get"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "no_target");
}

TEST_F(ProxyServerCall, TargetDisconnects_OutcomeIsUnknown) {
  AddTarget("h2", "t1",
            [](const HttpExchange& exchange) { exchange.Abandon(); });
  StartHosts();
  const auto response = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
  EXPECT_EQ(response->fields.at("x-camphor-outcome"), "unknown");
  EXPECT_FALSE(response->fields.contains("x-camphor-not-run"));
  EXPECT_EQ(Samples(RequestOutcome::kError), 1U);
}

TEST_F(ProxyServerCall, RepeatableRoute_TriesAnotherTarget) {
  AddTarget("h1", "t1",
            [](const HttpExchange& exchange) { exchange.Abandon(); });
  AddTarget("h2", "t2", Echo);
  StartHosts();
  for (int call = 0; call < 4; ++call) {
    const auto response = Call({.method = "GET", .target = "/get"});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
  }
}

// A target's not-run header is consumed by the proxy, which writes its own
// response, valid for the request as a whole.
TEST_F(ProxyServerCall, NotRunHeaderOfTarget_IsConsumedByTheProxy) {
  AddTarget("h2", "t1", [](const HttpExchange& exchange) {
    exchange.Respond(
        {.status = 503,
         .fields = {{"X-Camphor-Not-Run", "true"}, {"X-Of-Target", "1"}}});
  });
  StartHosts();
  const auto response = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "refused");
  EXPECT_FALSE(response->fields.contains("x-of-target"));
}

// A request that a target received consumes retry budget, whether it ran or
// not.
TEST_F(ProxyServerCall, TargetsRefuseEverything_ArrivalsStayWithinTheBudget) {
  std::atomic<int> arrivals = 0;
  const auto refuse = [&arrivals](const HttpExchange& exchange) {
    ++arrivals;
    exchange.Respond(
        {.status = 503, .fields = {{"X-Camphor-Not-Run", "true"}}});
  };
  AddTarget("h1", "t1", refuse);
  AddTarget("h2", "t2", refuse);
  StartHosts({.retry_ratio = 0.2, .retry_burst = 2});
  constexpr int kCalls = 40;
  for (int call = 0; call < kCalls; ++call) {
    const auto response = Call({.method = "GET", .target = "/get"});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
  }
  EXPECT_LE(arrivals, kCalls + kCalls * 0.2 + 2);
}

TEST_F(ProxyServerCall, NoTargetReached_RetriesWithoutBudget) {
  AddTargetAt("h1", "t1", {.address = "127.0.0.1", .port = 1});
  AddTarget("h2", "t2", Echo);
  StartHosts({.retry_ratio = 0, .retry_burst = 0});
  for (int call = 0; call < 20; ++call) {
    const auto response = Call({.method = "GET", .target = "/get"});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
  }
}

// Guards against reading the last attempt's placement from a newer routing: its
// indices are valid only in the routing it was chosen from.
TEST_F(ProxyServerCall, RoutingLosesTargetsDuringRetry_IsRefusedNotRun) {
  AddTarget("h1", "t1", [this](const HttpExchange& exchange) {
    {
      const std::scoped_lock lock(mutex_);
      host_targets_.clear();
      RebuildLocked();
    }
    exchange.Respond(
        {.status = 503, .fields = {{"X-Camphor-Not-Run", "true"}}});
  });
  StartHosts();
  const auto response = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  const std::scoped_lock lock(mutex_);
  EXPECT_EQ(decisions_[RequestDecision::Kind::kRetried], 1U);
  EXPECT_EQ(decisions_[RequestDecision::Kind::kRefused], 1U);
}

TEST_F(ProxyServerCall, TargetRefusesWithoutRunning_AnotherOneRunsIt) {
  AddTarget("h1", "t1", [](const HttpExchange& exchange) {
    exchange.Respond(
        {.status = 503, .fields = {{"X-Camphor-Not-Run", "true"}}});
  });
  AddTarget("h2", "t2", Echo);
  StartHosts();
  const auto response = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
}

// Half of the deadline is reserved for another target when a connection is
// dead. A target that is only slow must not cause the work to run twice.
TEST_F(ProxyServerCall, SlowTargetOfAnotherHost_RunsARepeatableRequestOnce) {
  std::atomic<int> runs = 0;
  HttpServer* server = nullptr;
  const auto slow = [&](const HttpExchange& exchange) {
    ++runs;
    server->After(Milliseconds(600),
                  [exchange] { exchange.Respond({.body = "slow"}); });
  };
  AddTarget("h2", "t1", slow);
  server = targets_["t1"].get();
  AddTarget("h2", "t2", slow);
  StartHosts();
  const auto response = Call({.method = "GET",
                              .target = "/get",
                              .fields = {{"x-camphor-deadline-ms", "1000"}}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(runs, 1);
}

// Without another target, no time needs to be reserved.
TEST_F(ProxyServerCall, OnlyTargetIsSlow_ItsAnswerIsAwaited) {
  std::atomic<int> runs = 0;
  HttpServer* server = nullptr;
  AddTarget("h1", "t1", [&](const HttpExchange& exchange) {
    ++runs;
    server->After(Milliseconds(700),
                  [exchange] { exchange.Respond({.body = "slow"}); });
  });
  server = targets_["t1"].get();
  StartHosts();
  const auto response = Call({.method = "GET",
                              .target = "/get",
                              .fields = {{"x-camphor-deadline-ms", "1000"}}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(runs, 1);
}

// Guards against using a route index of an older routing: the current one may
// have fewer routes when a request in flight looks for another target.
TEST_F(ProxyServerCall, RoutingLosesRouteOfSlowRequest_ResponseIsAwaited) {
  routes_.back().repeatable = true;
  std::promise<void> arrived;
  HttpServer* server = nullptr;
  AddTarget("h1", "t1", [&](const HttpExchange& exchange) {
    if (exchange.request().target != "/slow")
      return exchange.Respond({.body = "ok"});
    arrived.set_value();
    server->After(Milliseconds(700),
                  [exchange] { exchange.Respond({.body = "slow"}); });
  });
  server = targets_["t1"].get();
  StartHosts();
  auto slow = std::async(std::launch::async, [this] {
    return Call({.method = "GET",
                 .target = "/slow",
                 .fields = {{"x-camphor-deadline-ms", "1000"}}});
  });
  arrived.get_future().wait();
  {
    const std::scoped_lock lock(mutex_);
    routes_.resize(1);
    RebuildLocked();
  }
  ASSERT_TRUE(Call({.method = "GET", .target = "/get"}));
  const auto response = slow.get();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "slow");
}

TEST_F(ProxyServerCall, DeadlinePasses_RespondsUnknownAndCancelsTheTarget) {
  std::atomic<bool> cancelled = false;
  HttpServer* server = nullptr;
  std::vector<HttpExchange> held;
  AddTarget("h2", "t1",
            [&](const HttpExchange& exchange) { held.push_back(exchange); });
  server = targets_["t1"].get();
  StartHosts();
  const auto response = Call({.method = "POST",
                              .target = "/x",
                              .fields = {{"x-camphor-deadline-ms", "100"}}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 504);
  EXPECT_EQ(response->fields.at("x-camphor-outcome"), "unknown");
  // The target sees the connection close.
  while (!cancelled) {
    std::atomic<bool> asked = false;
    server->After(Milliseconds(1), [&] {
      cancelled = held.at(0).cancelled();
      asked = true;
    });
    while (!asked) std::this_thread::yield();
  }
  EXPECT_TRUE(cancelled);
  server->Stop();  // the held requests are destroyed with this test
}

}  // namespace
}  // namespace camphor

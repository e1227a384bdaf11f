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
  const auto answer = Call({.method = "POST", .target = "/x", .body = "hello"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "hello");
  EXPECT_EQ(answer->fields.at("x-camphor-target"), "t1");
  EXPECT_EQ(Metric("h2", "forward_requests"), 0U);
}

TEST_F(ProxyServerCall, RemoteTarget_AnswersInTwoHops) {
  AddTarget("h2", "t1", Echo);
  StartHosts();
  const auto answer = Call({.method = "POST", .target = "/x", .body = "hello"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "hello");
  EXPECT_FALSE(answer->fields.at("x-seen-deadline").empty());
  EXPECT_EQ(Metric("h2", "forward_requests"), 1U);
}

TEST_F(ProxyServerCall, BigBodies_StreamBothWaysWhole) {
  AddTarget("h2", "t1", Echo);
  StartHosts();
  const std::string body = BigBody();
  for (const std::string chunked : {"", "1"}) {
    const auto answer = Call({.method = "POST",
                              .target = "/x",
                              .fields = {{"x-chunked", chunked}},
                              .body = body});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body == body, true);
  }
}

TEST_F(ProxyServerCall, HeadRequest_GetsNoBody) {
  AddTarget("h2", "t1", Echo);
  StartHosts();
  const auto answer = Call({.method = "HEAD", .target = "/get"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->fields.at("x-method"), "HEAD");
}

TEST_F(ProxyServerCall, NoTarget_IsRefusedNotRun) {
  StartHosts();
  const auto answer = Call({.method = "GET", .target = "/get"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(answer->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(answer->fields.at("x-camphor-reason"), "no_target");
}

TEST_F(ProxyServerCall, TargetBreaksOff_OutcomeIsUnknown) {
  AddTarget("h2", "t1",
            [](const HttpExchange& exchange) { exchange.Abandon(); });
  StartHosts();
  const auto answer = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 502);
  EXPECT_EQ(answer->fields.at("x-camphor-outcome"), "unknown");
  EXPECT_FALSE(answer->fields.contains("x-camphor-not-run"));
  EXPECT_EQ(Samples(RequestOutcome::kError), 1U);
}

TEST_F(ProxyServerCall, RepeatableRoute_TriesAnotherTarget) {
  AddTarget("h1", "t1",
            [](const HttpExchange& exchange) { exchange.Abandon(); });
  AddTarget("h2", "t2", Echo);
  StartHosts();
  for (int call = 0; call < 4; ++call) {
    const auto answer = Call({.method = "GET", .target = "/get"});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
  }
}

// A target's refusal is taken as such: the answer is the proxy's own, and the
// mark in it is true for the whole request.
TEST_F(ProxyServerCall, TargetsOwnNotRunMark_IsTakenNotPassedOn) {
  AddTarget("h2", "t1", [](const HttpExchange& exchange) {
    exchange.Respond(
        {.status = 503,
         .fields = {{"X-Camphor-Not-Run", "true"}, {"X-Of-Target", "1"}}});
  });
  StartHosts();
  const auto answer = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(answer->fields.at("x-camphor-reason"), "refused");
  EXPECT_FALSE(answer->fields.contains("x-of-target"));
}

// A request that a target received counts against the pool, run or not.
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
    const auto answer = Call({.method = "GET", .target = "/get"});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503);
  }
  EXPECT_LE(arrivals, kCalls + kCalls * 0.2 + 2);
}

TEST_F(ProxyServerCall, NoTargetWasReached_AnotherIsTriedWithoutBudget) {
  AddTargetAt("h1", "t1", {.address = "127.0.0.1", .port = 1});
  AddTarget("h2", "t2", Echo);
  StartHosts({.retry_ratio = 0, .retry_burst = 0});
  for (int call = 0; call < 20; ++call) {
    const auto answer = Call({.method = "GET", .target = "/get"});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
  }
}

// The last attempt's placement belongs to the tables of that time.
TEST_F(ProxyServerCall, TablesLoseTheTargetsUnderARetry_RefusesTruthfully) {
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
  const auto answer = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
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
  const auto answer = Call({.method = "POST", .target = "/x"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
}

// Half of the deadline is kept for another target when a connection went
// silent; a target that is only slow must not get its work run twice.
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
  const auto answer = Call({.method = "GET",
                            .target = "/get",
                            .fields = {{"x-camphor-deadline-ms", "1000"}}});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(runs, 1);
}

// Without another target there is nothing to keep the time for.
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
  const auto answer = Call({.method = "GET",
                            .target = "/get",
                            .fields = {{"x-camphor-deadline-ms", "1000"}}});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(runs, 1);
}

// A request in flight belongs to the tables of its time: those in force may
// have fewer routes when it asks for another target.
TEST_F(ProxyServerCall, TablesLoseTheRouteOfASlowRequest_ItsAnswerIsAwaited) {
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
  const auto answer = slow.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "slow");
}

TEST_F(ProxyServerCall, DeadlinePasses_TellsSoAndCancelsTheTarget) {
  std::atomic<bool> cancelled = false;
  HttpServer* server = nullptr;
  std::vector<HttpExchange> held;
  AddTarget("h2", "t1",
            [&](const HttpExchange& exchange) { held.push_back(exchange); });
  server = targets_["t1"].get();
  StartHosts();
  const auto answer = Call({.method = "POST",
                            .target = "/x",
                            .fields = {{"x-camphor-deadline-ms", "100"}}});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 504);
  EXPECT_EQ(answer->fields.at("x-camphor-outcome"), "unknown");
  // The target sees its connection closed.
  while (!cancelled) {
    std::atomic<bool> asked = false;
    server->After(Milliseconds(1), [&] {
      cancelled = held.at(0).cancelled();
      asked = true;
    });
    while (!asked) std::this_thread::yield();
  }
  EXPECT_TRUE(cancelled);
  server->Stop();  // what is held goes with this test
}

}  // namespace
}  // namespace camphor

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <thread>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

// h1 with callers in domain "d", and h2 in domain "e" with a target of one
// slot, which holds its requests until Release.
class Evacuation : public TwoHosts {
 protected:
  void SetUp() override {
    TwoHosts::SetUp();
    domains_["h2"] = FailureDomain("e");
    pool_.slots_per_target = 1;
    AddTarget("h2", "t1", [this](const HttpExchange& exchange) {
      ++at_first_;
      while (held_) std::this_thread::sleep_for(Milliseconds(5));
      exchange.Respond({.status = 200, .body = "first"});
    });
  }

  void TearDown() override {
    held_ = false;
    TwoHosts::TearDown();
  }

  void AddSecondTarget() {
    AddTarget("h1", "t2", [this](const HttpExchange& exchange) {
      ++at_second_;
      exchange.Respond({.status = 200, .body = "second"});
    });
  }

  void Evacuate(std::vector<FailureDomain> domains) {
    const std::scoped_lock lock(mutex_);
    evacuated_domains_ = std::move(domains);
    RebuildLocked();
  }

  // Publishes the evacuation to the target's host only.
  void EvacuateAtTargetsHost() {
    const std::scoped_lock lock(mutex_);
    const EffectiveRoutingPtr before = routings_["h1"];
    evacuated_domains_ = {FailureDomain("e")};
    RebuildLocked();
    routings_["h1"] = before;
  }

  std::future<std::optional<HttpResponse>> CallLater() {
    return std::async(std::launch::async, [this] {
      return Call({.method = "GET", .target = "/post"});
    });
  }

  void WaitFor(const std::function<bool()>& condition) {
    const MonoTime end = std::chrono::steady_clock::now() + Seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(Milliseconds(5));
    ASSERT_TRUE(condition());
  }

  std::atomic<bool> held_ = true;
  std::atomic<int> at_first_ = 0;
  std::atomic<int> at_second_ = 0;
};

// A request that waits for a slot would otherwise run in the domain long after
// the evacuation.
TEST_F(Evacuation, WhileRequestWaits_ItRunsElsewhereAndTheRunningOneGoesOn) {
  StartHosts();
  auto running = CallLater();
  WaitFor([this] { return at_first_ == 1; });
  auto waiting = CallLater();
  WaitFor([this] {
    return proxies_["h2"]->DumpJson().find("\"waiting\":1") !=
           std::string::npos;
  });
  AddSecondTarget();
  Evacuate({FailureDomain("e")});
  const auto moved = waiting.get();
  ASSERT_TRUE(moved);
  EXPECT_EQ(moved->status, 200);
  EXPECT_EQ(moved->body, "second");
  held_ = false;
  const auto finished = running.get();
  ASSERT_TRUE(finished);
  EXPECT_EQ(finished->body, "first");
  EXPECT_EQ(at_first_, 1);
  EXPECT_EQ(Metric("h2", "evacuated_refused"), 1U);
}

TEST_F(Evacuation, CallersHostDoesNotKnowYet_TargetsHostRefusesAsNotRun) {
  held_ = false;
  StartHosts();
  EvacuateAtTargetsHost();
  const auto refused = Call({.method = "GET", .target = "/post"});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-reason"), "evacuated");
  EXPECT_EQ(refused->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(at_first_, 0);
}

TEST_F(Evacuation, Ends_DomainServesAgain) {
  held_ = false;
  StartHosts();
  Evacuate({FailureDomain("e")});
  EXPECT_EQ(Call({.method = "GET", .target = "/post"})->status, 503);
  EXPECT_EQ(at_first_, 0);
  Evacuate({});
  EXPECT_EQ(Call({.method = "GET", .target = "/post"})->status, 200);
}

// Requests that outlast an evacuation still hold their slots.
TEST_F(Evacuation, EndsWhileRequestRuns_TargetGetsNoMoreThanItsSlots) {
  StartHosts();
  auto running = CallLater();
  WaitFor([this] { return at_first_ == 1; });
  Evacuate({FailureDomain("e")});
  // The maintenance of the target's host runs once a second.
  std::this_thread::sleep_for(Milliseconds(1200));
  Evacuate({});
  auto waiting = CallLater();
  WaitFor([this] {
    return proxies_["h2"]->DumpJson().find("\"waiting\":1") !=
           std::string::npos;
  });
  EXPECT_EQ(at_first_, 1);
  held_ = false;
  EXPECT_EQ(running.get()->status, 200);
  EXPECT_EQ(waiting.get()->status, 200);
}

TEST_F(Evacuation, UnknownDomain_ChangesNothing) {
  held_ = false;
  StartHosts();
  Evacuate({FailureDomain("nowhere")});
  EXPECT_EQ(Call({.method = "GET", .target = "/post"})->status, 200);
}

}  // namespace
}  // namespace camphor

#include <algorithm>
#include <atomic>
#include <chrono>

#include "unit_tests/proxy/vocabulary_fixture.h"

namespace camphor {
namespace {

// Targets that name a request limit, or say that they are leaving, in their
// responses.
class TargetStatement : public ProxyVocabulary {
 protected:
  // A target that adds the given headers to its responses.
  void StartTarget(const std::string& host) {
    Start(host, [this](const std::string& request) -> ScriptedResponse {
      ++arrivals_;
      const std::scoped_lock lock(mutex_);
      return {MakeResponse("200 OK",
                           "T-Id: " + FindHeaderValue(request, "T-Id") +
                               "\r\nT-Receipt: r\r\n" + headers_,
                           "body")};
    });
  }

  void SetHeaders(const std::string& headers) {
    const std::scoped_lock lock(mutex_);
    headers_ = headers;
  }

  // Sends requests for the given time. Returns how many were answered by the
  // target.
  int SendFor(Milliseconds time) {
    const MonoTime end = std::chrono::steady_clock::now() + time;
    int answered = 0;
    while (std::chrono::steady_clock::now() < end) {
      const auto response = Get("r" + std::to_string(++sent_));
      if (response && response->status == 200) ++answered;
    }
    return answered;
  }

  std::string headers_;
  std::atomic<int> arrivals_ = 0;
  int sent_ = 0;
};

// The bound on the requests that a target gets: one and a half times its limit,
// and five more.
int MaxArrivals(double per_second, Milliseconds time) {
  const double seconds = std::chrono::duration<double>(time).count();
  return static_cast<int>(1.5 * per_second * seconds) + 5;
}

TEST_F(TargetStatement, LimitNamed_RequestsStayWithinIt) {
  SetHeaders("T-Limit: 20.0\r\n");
  StartTarget("h2");
  ASSERT_EQ(Get("first")->status, 200);
  arrivals_ = 0;
  SendFor(Seconds(2));
  EXPECT_LE(arrivals_, MaxArrivals(20, Seconds(2)));
  // The limit is used, too.
  EXPECT_GE(arrivals_, 20);
  EXPECT_GT(sent_, MaxArrivals(20, Seconds(2)));
}

TEST_F(TargetStatement, LimitReached_IsRefusedAtOnceAsNotRun) {
  SetHeaders("T-Limit: 1\r\n");
  StartTarget("h2");
  std::optional<HttpResponse> refused;
  for (int request = 0; request < 10 && !refused; ++request) {
    const auto response = Get("r" + std::to_string(request));
    ASSERT_TRUE(response);
    if (response->status != 200) refused = response;
  }
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-reason"), "limited");
  EXPECT_TRUE(refused->fields.contains("retry-after"));
}

TEST_F(TargetStatement, LimitNoLongerNamed_RequestsPassAgain) {
  SetHeaders("T-Limit: 10\r\n");
  StartTarget("h2");
  SendFor(Seconds(1));
  SetHeaders("");
  SendFor(Milliseconds(200));
  const int before = sent_;
  const int answered = SendFor(Milliseconds(300));
  EXPECT_EQ(answered, sent_ - before);
}

TEST_F(TargetStatement, UnreadableLimit_IsIgnored) {
  SetHeaders("T-Limit: -1\r\n");
  StartTarget("h1");
  for (const char* limit : {"-1", "nan", "1e999", "1,5", "many", ""}) {
    SetHeaders("T-Limit: " + std::string(limit) + "\r\n");
    for (int request = 0; request < 5; ++request)
      EXPECT_EQ(Get("r" + std::to_string(++sent_))->status, 200) << limit;
  }
}

TEST_F(TargetStatement, SaysLeaving_GetsNoFurtherRequest) {
  SetHeaders("T-Leaving: 1\r\n");
  StartTarget("h2");
  ASSERT_EQ(Get("first")->status, 200);
  arrivals_ = 0;
  for (int request = 0; request < 5; ++request)
    EXPECT_EQ(Get("r" + std::to_string(request))->status, 503);
  EXPECT_EQ(arrivals_, 0);
  EXPECT_EQ(said_leaving_, std::vector<std::string>{"t1"});
}

// The host of the caller keeps to it even if the target's host has restarted.
TEST_F(TargetStatement,
       SaysLeavingThroughHostThatForgets_GetsNoFurtherRequest) {
  SetHeaders("T-Leaving: 1\r\n");
  StartTarget("h2");
  ASSERT_EQ(Get("first")->status, 200);
  proxies_["h2"]->Stop();
  ProxyServer::Options options{.caller_listen = {.address = "127.0.0.1"},
                               .forward_listen = {.address = "127.0.0.1"},
                               .host = HostId("h2"),
                               .domain = FailureDomain("d"),
                               .mesh_key = "key",
                               .routing = [this] { return RoutingOf("h2"); },
                               .local_target =
                                   [this](const TargetId& id) {
                                     const std::scoped_lock lock(mutex_);
                                     return addresses_[id];
                                   },
                               .vocabulary = vocabulary_};
  proxies_["h2"] = std::make_unique<ProxyServer>(std::move(options));
  ASSERT_TRUE(proxies_["h2"]->Start());
  {
    const std::scoped_lock lock(mutex_);
    RebuildLocked();
  }
  arrivals_ = 0;
  for (int request = 0; request < 5; ++request)
    EXPECT_EQ(Get("r" + std::to_string(request))->status, 503);
  EXPECT_EQ(arrivals_, 0);
}

}  // namespace
}  // namespace camphor

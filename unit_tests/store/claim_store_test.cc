#include "store/claim_store.h"

#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <thread>

#include "platform/http_platform_client.h"
#include "stand_ins/http/http_connection.h"
#include "stand_ins/http/http_server.h"
#include "stand_ins/platform/platform_stand_in.h"

namespace camphor {
namespace {

// Claim stores of two hosts and a platform stand-in, all in this process.
class ClaimStoreTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(platform_.Start()) << platform_.last_reason();
    ASSERT_TRUE(timers_.Start());
    client_.emplace(HttpPlatformClient::Options{
        .platform = platform_.endpoint(), .timeout = Milliseconds(200)});
    for (const char* owner : {"h1-1", "h2-1"}) {
      stores_.push_back(std::make_unique<ClaimStore>(ClaimStore::Options{
          .client = &*client_,
          .schedule =
              [this](Milliseconds delay, std::function<void()> action) {
                timers_.After(delay, std::move(action));
              },
          .owner = owner}));
    }
  }

  void TearDown() override {
    client_->Stop();
    timers_.Stop();
  }

  void SetMode(const std::string& mode) {
    HttpConnection control(platform_.endpoint());
    const auto response = control.Call({.method = "POST",
                                        .target = "/control",
                                        .body = R"({"mode":")" + mode + "\"}"});
    ASSERT_TRUE(response) << control.last_reason();
    ASSERT_EQ(response->status, 200) << response->body;
  }

  std::future<ClaimStatus> StartClaim(std::size_t store,
                                      const std::string& key) {
    auto promise = std::make_shared<std::promise<ClaimStatus>>();
    stores_[store]->Claim(
        key, 7, [promise](ClaimStatus status) { promise->set_value(status); });
    return promise->get_future();
  }

  ClaimStatus Claim(std::size_t store, const std::string& key) {
    return StartClaim(store, key).get();
  }

  bool Release(std::size_t store, const std::string& key) {
    auto promise = std::make_shared<std::promise<bool>>();
    stores_[store]->Release(
        key, [promise](bool released) { promise->set_value(released); });
    return promise->get_future().get();
  }

  PlatformStandIn platform_{{}};
  HttpServer timers_{{}};
  std::optional<HttpPlatformClient> client_;
  std::vector<std::unique_ptr<ClaimStore>> stores_;
};

TEST_F(ClaimStoreTest, ClaimByTwoHosts_GrantsOne) {
  EXPECT_EQ(Claim(0, "k"), ClaimStatus::kGranted);
  EXPECT_EQ(Claim(1, "k"), ClaimStatus::kAlreadyClaimed);
  EXPECT_EQ(Claim(0, "k"), ClaimStatus::kAlreadyClaimed);
}

TEST_F(ClaimStoreTest, ClaimResponseLost_GrantsSameClaim) {
  SetMode("lose_answers");
  std::future<ClaimStatus> first = StartClaim(0, "k");
  // Waits until the platform has counted the write, so that only the response
  // is lost.
  HttpConnection control(platform_.endpoint());
  while (true) {
    const auto counters =
        control.Call({.method = "GET", .target = "/control/counters"});
    ASSERT_TRUE(counters);
    if (counters->body.find("\"writes\":") != std::string::npos) break;
    std::this_thread::yield();
  }
  SetMode("up");
  EXPECT_EQ(first.get(), ClaimStatus::kGranted);
  EXPECT_EQ(Claim(1, "k"), ClaimStatus::kAlreadyClaimed);
}

TEST_F(ClaimStoreTest, ClaimWhilePlatformUnavailable_IsNotMade) {
  SetMode("out");
  EXPECT_EQ(Claim(0, "k"), ClaimStatus::kNotMade);
  SetMode("up");
  EXPECT_EQ(Claim(1, "k"), ClaimStatus::kGranted);
}

TEST_F(ClaimStoreTest, ReleaseOwnClaim_FreesTheKey) {
  EXPECT_EQ(Claim(0, "k"), ClaimStatus::kGranted);
  EXPECT_FALSE(Release(1, "k"));
  EXPECT_TRUE(Release(0, "k"));
  EXPECT_EQ(Claim(1, "k"), ClaimStatus::kGranted);
}

}  // namespace
}  // namespace camphor

#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

// A configuration with one team and one public route, and a proxy that is told
// whether its knowledge of the configuration is recent enough.
class StaleKeys : public TwoHosts {
 protected:
  void SetUp() override {
    TwoHosts::SetUp();
    routes_[0].is_public = true;  // "/get"
    teams_ = TeamTable(
        {{.name = TeamName("red"), .key_digests = {Digest::Of("key")}}});
    vocabulary_.team_key = "T-Key";
    vocabulary_.team = "T-Team";
    vocabulary_.fractional_retry_after = true;
    accepts_keys_ = [this] {
      if (revoked_with_proof_) RevokeKey();
      return recent_ || revoked_with_proof_;
    };
    AddTarget("h2", "t1", [this](const HttpExchange& exchange) {
      ++runs_;
      exchange.Respond({.status = 200, .body = "ran"});
    });
    StartHosts({.retry_after = Milliseconds(50)});
  }

  std::optional<HttpResponse> Post(const std::string& key) {
    return Call({.method = "POST",
                 .target = "/post",
                 .fields = {{"t-key", key}},
                 .body = "x"});
  }

  // Publishes a configuration that does not list the key.
  void RevokeKey() {
    const std::scoped_lock lock(mutex_);
    teams_ = TeamTable(
        {{.name = TeamName("red"), .key_digests = {Digest::Of("new key")}}});
    RebuildLocked();
  }

  std::atomic<bool> recent_{true};
  // The knowledge becomes recent with a configuration that revokes the key,
  // while a request is being examined.
  std::atomic<bool> revoked_with_proof_{false};
  std::atomic<int> runs_{0};
};

TEST_F(StaleKeys, RecentKnowledge_KeyIsAccepted) {
  const auto response = Post("key");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(runs_, 1);
}

// Guards against a host that goes on accepting keys which were removed from a
// configuration that it cannot learn of.
TEST_F(StaleKeys, OldKnowledge_KeyIsRefusedAsNotRun) {
  recent_ = false;
  const auto response = Post("key");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "stale_keys");
  EXPECT_EQ(response->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(response->fields.at("retry-after"), "1.000");
  EXPECT_EQ(runs_, 0);
  EXPECT_EQ(Metric("h1", "refused_not_run"), 1U);
}

// The key may have been added by a newer configuration, so it is not known to
// be wrong.
TEST_F(StaleKeys, OldKnowledge_UnknownAndMissingKeysAreNotCalledWrong) {
  recent_ = false;
  for (const std::string key : {"other", ""}) {
    const auto response = Post(key);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503) << key;
  }
  recent_ = true;
  EXPECT_EQ(Post("other")->status, 401);
}

TEST_F(StaleKeys, OldKnowledge_PublicRouteIsServed) {
  recent_ = false;
  const auto response = Call({.method = "GET", .target = "/get"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(runs_, 1);
}

TEST_F(StaleKeys, KnowledgeRecentAgain_KeyIsAccepted) {
  recent_ = false;
  ASSERT_EQ(Post("key")->status, 503);
  recent_ = true;
  EXPECT_EQ(Post("key")->status, 200);
}

// Loaded in the other order, a proof about a new configuration would let a key
// pass that only the previous configuration lists.
TEST_F(StaleKeys, RequestExamined_FreshnessIsReadBeforeRouting) {
  recent_ = false;
  revoked_with_proof_ = true;
  const auto response = Post("key");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 401);
  EXPECT_EQ(runs_, 0);
}

TEST_F(StaleKeys, ConfigurationWithoutTeams_IsServedAtAnyAge) {
  recent_ = false;
  {
    const std::scoped_lock lock(mutex_);
    teams_ = {};
    RebuildLocked();
  }
  EXPECT_EQ(Post("")->status, 200);
}

}  // namespace
}  // namespace camphor

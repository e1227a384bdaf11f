#include <string>
#include <vector>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

class ProxyClaimsTest : public TwoHosts {
 protected:
  void SetUp() override {
    TwoHosts::SetUp();
    claim_ = [this](const std::string& key, std::uint64_t,
                    const ClaimCallback& done) {
      claimed_.push_back(key);
      if (claim_status_) done(*claim_status_);
    };
    release_claim_ = [this](const std::string& key,
                            const std::function<void(bool)>& done) {
      released_.push_back(key);
      done(true);
    };
  }

  void AddCountingTarget(const std::string& host) {
    AddTarget(host, "t1", [this](const HttpExchange& exchange) {
      ++runs_;
      exchange.Respond({.body = "ok"});
    });
  }

  std::optional<HttpResponse> CallOnce(const std::string& key) {
    HttpRequest request{.method = "POST", .target = "/once"};
    if (!key.empty()) request.fields["idempotency-key"] = key;
    request.fields["x-camphor-deadline-ms"] = "200";
    return Call(request);
  }

  std::optional<ClaimStatus> claim_status_ = ClaimStatus::kGranted;
  std::vector<std::string> claimed_;
  std::vector<std::string> released_;
  std::atomic<int> runs_ = 0;
};

TEST_F(ProxyClaimsTest, NoKey_IsRefused) {
  AddCountingTarget("h2");
  StartHosts();
  const auto response = CallOnce("");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 400);
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "key_missing");
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyClaimsTest, Granted_RunsOnTheTargetsHost) {
  AddCountingTarget("h2");
  StartHosts();
  const auto response = CallOnce("k");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(claimed_, std::vector<std::string>{"k"});
  EXPECT_EQ(runs_, 1);
}

TEST_F(ProxyClaimsTest, EveryOtherStatus_DoesNotRun) {
  AddCountingTarget("h2");
  StartHosts();
  struct Case {
    ClaimStatus status;
    int response;
    bool not_run;
  };
  for (const Case& expected : {Case{ClaimStatus::kAlreadyClaimed, 409, false},
                               Case{ClaimStatus::kNotMade, 503, true},
                               Case{ClaimStatus::kUnknown, 503, false}}) {
    claim_status_ = expected.status;
    const auto response = CallOnce("k");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, expected.response);
    EXPECT_EQ(response->fields.contains("x-camphor-not-run"), expected.not_run);
  }
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyClaimsTest, NoClaimResultBeforeTheDeadline_DoesNotRun) {
  AddCountingTarget("h2");
  claim_status_.reset();
  StartHosts();
  const auto response = CallOnce("k");
  ASSERT_TRUE(response);
  EXPECT_FALSE(response->fields.contains("x-camphor-not-run"));
  EXPECT_EQ(response->fields.at("x-camphor-outcome"), "unknown");
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyClaimsTest, TargetGoneAfterTheClaim_ReleasesTheClaim) {
  AddTargetAt("h2", "t1", {.address = "127.0.0.1", .port = 1});
  StartHosts();
  const auto response = CallOnce("k");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->fields.at("x-camphor-not-run"), "true");
  EXPECT_EQ(released_, claimed_);
  EXPECT_FALSE(claimed_.empty());
}

TEST_F(ProxyClaimsTest, ClaimCannotBeReleased_IsNotReportedNotRun) {
  release_claim_ = [](const std::string&,
                      const std::function<void(bool)>& done) { done(false); };
  AddTargetAt("h2", "t1", {.address = "127.0.0.1", .port = 1});
  StartHosts();
  const auto response = CallOnce("k");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_FALSE(response->fields.contains("x-camphor-not-run"));
}

}  // namespace
}  // namespace camphor

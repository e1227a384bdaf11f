#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <string>

#include "unit_tests/proxy/vocabulary_fixture.h"

namespace camphor {
namespace {

constexpr const char* kKey = "secret";

class ProxyQuota : public ProxyVocabulary {
 protected:
  ProxyQuota() {
    teams_ = TeamTable({{.name = TeamName("billing"),
                         .key_digests = {Digest::Of(kKey)},
                         .requests_per_second = 10}});
    vocabulary_.team_key = "T-Key";
    admit_ = [this](const TeamSpec& team) -> std::optional<Milliseconds> {
      ++asked_;
      EXPECT_EQ(team.name, TeamName("billing"));
      if (asked_ <= admitted_) return std::nullopt;
      return Milliseconds(1250);
    };
  }

  void StartAnswering() {
    Start("h1", [this](const std::string& request) -> ScriptedResponse {
      ++runs_;
      return {MakeResponse(
          "200 OK",
          "T-Id: " + FindHeaderValue(request, "T-Id") + "\r\nT-Receipt: r\r\n",
          "body")};
    });
  }

  std::optional<HttpResponse> Post(const std::string& body) {
    return Call({.method = "POST",
                 .target = "/post/x",
                 .fields = {{"t-id", "a"}, {"t-key", kKey}},
                 .body = body});
  }

  std::atomic<int> asked_{0};
  std::atomic<int> runs_{0};  ///< requests that the target received
  int admitted_ = 0;          ///< requests that the quota admits
};

// Guards against a refusal that reads the body, runs the request or states the
// default time.
TEST_F(ProxyQuota, RequestOverQuota_Gets429WithRetryAfterAndDoesNotRun) {
  StartAnswering();
  const auto response = Post(std::string(1000, 'x'));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 429);
  EXPECT_EQ(response->fields.at("retry-after"), "1.250");
  EXPECT_EQ(Metric("h1", "over_quota"), 1U);
  EXPECT_EQ(runs_, 0);
}

TEST_F(ProxyQuota, RequestWithinQuota_RunsAndCountsOnce) {
  admitted_ = 1;
  StartAnswering();
  const auto response = Post("x");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(runs_, 1);
  EXPECT_EQ(asked_, 1);
}

TEST_F(ProxyQuota, PublicRoute_IsNotCounted) {
  for (RouteRule& route : routes_) route.is_public = true;
  StartAnswering();
  const auto response = Post("x");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(asked_, 0);
}

// Guards against refusals for other reasons that use up the quota.
TEST_F(ProxyQuota, UnknownKeyOrMalformedHeader_IsNotCounted) {
  StartAnswering();
  EXPECT_EQ(Call({.method = "GET",
                  .target = "/post/x",
                  .fields = {{"t-id", "a"}, {"t-key", "wrong"}}})
                ->status,
            401);
  EXPECT_EQ(
      Call({.method = "GET",
            .target = "/post/x",
            .fields = {{"t-id", "a"}, {"t-key", kKey}, {"t-deadline", "soon"}}})
          ->status,
      400);
  EXPECT_EQ(asked_, 0);
}

}  // namespace
}  // namespace camphor

#include <atomic>
#include <string>

#include "unit_tests/proxy/vocabulary_fixture.h"

namespace camphor {
namespace {

/// A configuration with one team and a target that records its requests.
class TeamKeys : public ProxyVocabulary {
 protected:
  TeamKeys() {
    teams_ = TeamTable(
        {{.name = TeamName("red"), .key_digests = {Digest::Of("red-key")}}});
  }

  void StartRecording(const std::string& host) {
    Start(host, [this](const std::string& request) -> ScriptedResponse {
      seen_ = request;
      ++runs_;
      return {MakeResponse("200 OK", "T-Id: a\r\nT-Receipt: r\r\n", "body")};
    });
  }

  int CallWith(HttpFields fields) {
    fields["t-id"] = "a";
    fields["t-deadline"] = "2000";
    const auto response = Call(
        {.method = "GET", .target = "/post/x", .fields = std::move(fields)});
    return response ? response->status : 0;
  }

  std::string seen_;
  std::atomic<int> runs_{0};
};

// Guards against a key that reaches a target, and against a team name that the
// caller made up.
TEST_F(TeamKeys, KnownKey_TargetGetsTeamAndNotKey) {
  for (const char* host : {"h1", "h2"}) {
    StartRecording(host);
    EXPECT_EQ(CallWith({{"t-key", "red-key"}, {"t-team", "forged"}}), 200);
    EXPECT_EQ(FindHeaderValue(seen_, "T-Team"), "red");
    EXPECT_EQ(seen_.find("red-key"), std::string::npos);
    EXPECT_EQ(seen_.find("forged"), std::string::npos);
    TearDown();
    host_targets_.clear();
  }
}

TEST_F(TeamKeys, UnknownOrMissingKey_IsRefusedBeforeItRuns) {
  StartRecording("h1");
  EXPECT_EQ(CallWith({{"t-key", "blue-key"}}), 401);
  EXPECT_EQ(CallWith({{"t-key", ""}}), 401);
  EXPECT_EQ(CallWith({{"t-team", "red"}}), 401);
  EXPECT_EQ(runs_, 0);
  EXPECT_EQ(Metric("h1", "unauthorized"), 3U);
}

TEST_F(TeamKeys, PublicRoute_NeedsNoKeyAndForwardsNoTeamOfTheCaller) {
  for (RouteRule& rule : routes_) rule.is_public = true;
  StartRecording("h1");
  EXPECT_EQ(CallWith({{"t-team", "forged"}}), 200);
  EXPECT_EQ(seen_.find("forged"), std::string::npos);
}

// Deployments without teams forward these headers like any other.
TEST_F(TeamKeys, NoTeams_HeadersAreForwarded) {
  teams_ = TeamTable();
  StartRecording("h1");
  EXPECT_EQ(CallWith({{"t-key", "any"}}), 200);
  EXPECT_EQ(FindHeaderValue(seen_, "T-Key"), "any");
}

}  // namespace
}  // namespace camphor

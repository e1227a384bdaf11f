#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/header_rules.h"
#include "unit_tests/proxy/raw_target.h"
#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

/// Requests that kill the targets that run them.
class PoisonRequestTest : public TwoHosts {
 protected:
  void TearDown() override {
    TwoHosts::TearDown();
    mortal_targets_.clear();
  }

  void AddMortalTargets(const std::string& host, int count,
                        const std::string& response = RawTarget::kOk) {
    for (int number = 0; number < count; ++number) {
      mortal_targets_.push_back(std::make_unique<RawTarget>(response));
      AddTargetAt(host, host + "t" + std::to_string(number),
                  mortal_targets_.back()->endpoint());
    }
  }

  std::ptrdiff_t deaths() const {
    return std::ranges::count_if(
        mortal_targets_, [](const auto& target) { return target->dead(); });
  }

  std::vector<std::unique_ptr<RawTarget>> mortal_targets_;
};

TEST_F(PoisonRequestTest, OtherHostName_IsRefusedBeforeTheThirdDeath) {
  AddMortalTargets("h2", 4);
  StartHosts();
  std::optional<HttpResponse> response;
  for (int call = 0; call < 8; ++call) {
    // Use a different Host header each time.
    response = Call({.method = "POST",
                     .target = "/poison",
                     .fields = {{"host", "name" + std::to_string(call)}}});
    ASSERT_TRUE(response);
  }
  EXPECT_EQ(response->status, 422);
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "poison");
  EXPECT_EQ(deaths(), 2);
  const auto innocent = Call({.method = "POST", .target = "/a"});
  ASSERT_TRUE(innocent);
  EXPECT_EQ(innocent->status, 200);
}

TEST_F(PoisonRequestTest, RepeatablePoison_IsNotSentAThirdTime) {
  AddMortalTargets("h2", 4);
  StartHosts();
  const auto response = Call({.method = "GET", .target = "/get/poison"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->fields.at("x-camphor-outcome"), "unknown");
  EXPECT_EQ(deaths(), 2);
}

/// Callers that send an id of their own with each attempt.
class PoisonAttempts : public PoisonRequestTest {
 protected:
  PoisonAttempts() {
    vocabulary_ = {.deadline = "T-Deadline",
                   .attempt = {},
                   .request_id = "T-Id",
                   .expected_target = "T-Expected",
                   .caller_pool = "T-Caller",
                   .not_run = "T-Not-Run"};
  }

  std::optional<HttpResponse> Send(const std::string& target,
                                   const std::string& body) {
    ++attempts_;
    return Call({.method = "POST",
                 .target = target,
                 .fields = {{"t-id", "a" + std::to_string(attempts_)},
                            {"t-deadline", std::to_string(4000 + attempts_)},
                            {"user-agent", std::to_string(attempts_)}},
                 .body = body});
  }

  void CheckIsRefusedAfterTwoDeaths(const std::string& host) {
    AddMortalTargets(host, 5, kOkWithId);
    StartHosts();
    for (int call = 0; call < 10; ++call) Send("/poison", "body");
    EXPECT_EQ(deaths(), 2);
    const auto refused = Send("/poison", "body");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 422);
    for (const auto& [target, body] :
         {std::pair{"/poison2?a", "body"}, {"/a", "body"}, {"/a", ""}}) {
      const auto other = Send(target, body);
      ASSERT_TRUE(other);
      EXPECT_NE(other->status, 422) << target;
    }
  }

  static constexpr const char* kOkWithId =
      "HTTP/1.1 200 OK\r\nT-Id: ID\r\nContent-Length: 2\r\n\r\nok";
  int attempts_ = 0;
};

// Guards against a request that is never recognized because each attempt has
// its own id and deadline, under names that the operator chooses.
TEST_F(PoisonAttempts, TargetsOfThisHost_RequestIsRefusedAfterTwoDeaths) {
  CheckIsRefusedAfterTwoDeaths("h1");
}

TEST_F(PoisonAttempts, TargetsOfAnotherHost_RequestIsRefusedAfterTwoDeaths) {
  CheckIsRefusedAfterTwoDeaths("h2");
}

// Guards against refusing a frequent request because targets died while they
// ran it.
TEST_F(PoisonAttempts, TargetsDieUnderAnsweredRequest_ItIsStillServed) {
  AddMortalTargets("h2", 4, kOkWithId);
  StartHosts();
  for (int round = 0; round < 3; ++round) {
    for (int call = 0; call < 20; ++call) Send("/frequent", "body");
    mortal_targets_[static_cast<std::size_t>(round)]->Kill();
  }
  for (int call = 0; call < 10; ++call) Send("/frequent", "body");
  const auto response = Send("/frequent", "body");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
}

// Compares the fingerprints of two requests that differ in one respect.
class RequestFingerprintTest : public testing::Test {
 protected:
  RequestFingerprintTest() {
    header_.method(http::verb::post);
    header_.target("/a?b=1");
    header_.set("Host", "one.example");
    header_.set("T-Id", "1");
    header_.set("Cookie", "user=1");
    first_ = Fingerprint();
  }

  std::uint64_t Fingerprint() const {
    return RequestFingerprint({.route = route_,
                               .caller = caller_,
                               .header = header_,
                               .body_prefix = body_,
                               .body_length = length_});
  }

  http::request_header<> header_;
  std::string route_ = "r";
  std::string caller_ = "c";
  std::string body_ = std::string(2000, 'x');
  std::optional<std::uint64_t> length_;
  std::uint64_t first_ = 0;
};

TEST_F(RequestFingerprintTest, RepetitionsDifferInOtherHeaders_AreTheSame) {
  header_.set("Host", "OTHER:80");
  header_.set("T-Id", "2");
  header_.set("Traceparent", "x");
  header_.set("X-Anything", "y");
  header_.set("User-Agent", "z");
  EXPECT_EQ(Fingerprint(), first_);
}

TEST_F(RequestFingerprintTest, OtherRequests_Differ) {
  const auto expect_other = [this](auto& field, auto value, const char* what) {
    const auto before = std::exchange(field, value);
    EXPECT_NE(Fingerprint(), first_) << what;
    field = before;
  };
  expect_other(route_, "s", "route");
  expect_other(caller_, "d", "caller");
  expect_other(body_, std::string(1999, 'x') + "y", "end of body");
  expect_other(body_, std::string(1999, 'x'), "shorter body");
  expect_other(length_, std::optional<std::uint64_t>(9), "length");
  header_.set("Cookie", "user=2");
  EXPECT_NE(Fingerprint(), first_) << "cookie";
  header_.set("Cookie", "user=1");
  header_.target("/a?b=2");
  EXPECT_NE(Fingerprint(), first_) << "query";
  header_.target("/a?b=1");
  header_.method(http::verb::put);
  EXPECT_NE(Fingerprint(), first_) << "method";
}

}  // namespace
}  // namespace camphor

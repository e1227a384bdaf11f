#include "node/admin/preview_message.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphor {
namespace {

using Outcome = PlacementPreview::Outcome;

// Stands for a key. No message may contain it.
constexpr const char* kSecret = "s3cr3t";

/// Returns the names of the fields with errors; "" if the body is valid.
std::string FieldsOf(const std::string& body) {
  std::vector<FieldError> errors;
  const auto request = ParsePreviewRequest(body, errors);
  EXPECT_EQ(request.has_value(), errors.empty());
  std::string fields;
  for (const FieldError& error : errors) {
    fields += (fields.empty() ? "" : " ") + error.field;
    EXPECT_EQ(error.message.find(kSecret), std::string::npos);
  }
  return fields;
}

TEST(ParsePreviewRequest, ValidBody_HasAllHeaders) {
  std::vector<FieldError> errors;
  const auto request = ParsePreviewRequest(
      R"({"method": "GET", "host": "shop:80", "path": "/a?b",
          "headers": {"X-A": ["1", "2"], "X-B": "3"}})",
      errors);
  ASSERT_TRUE(request);
  EXPECT_EQ(
      *request,
      (PreviewRequest{.method = "GET",
                      .host = "shop:80",
                      .path = "/a?b",
                      .headers = {{"X-A", "1"}, {"X-A", "2"}, {"X-B", "3"}}}));
  EXPECT_EQ(FieldsOf(R"({"method": "GET", "host": "h", "path": "/"})"), "");
}

// Guards against errors that do not name the field, and against errors that
// contain the value of a header.
TEST(ParsePreviewRequest, InvalidField_IsNamedWithoutItsValue) {
  const std::string start =
      R"({"method": "GET", "host": "h", "path": "/", "headers": )";
  const std::string secret = kSecret;
  EXPECT_EQ(FieldsOf("{}"), "method host path");
  EXPECT_EQ(FieldsOf(R"({"method": "G T", "host": "a b", "path": "x"})"),
            "method host path");
  EXPECT_EQ(FieldsOf(R"({"method": "GET", "host": "h", "path": "/a b"})"),
            "path");
  EXPECT_EQ(
      FieldsOf(R"({"method": "GET", "host": "h", "path": "/", "query": ""})"),
      "query");
  EXPECT_EQ(FieldsOf(start + "[]}"), "headers");
  EXPECT_EQ(FieldsOf(start + R"({"X-A: )" + secret + R"(": "1"}})"), "headers");
  EXPECT_EQ(FieldsOf(start + R"({"X-A": ")" + secret + R"(\r\nX-B: 1"}})"),
            "headers.X-A");
  EXPECT_EQ(FieldsOf(start + R"({"X-A": ["1", 2]}})"), "headers.X-A");
  EXPECT_EQ(FieldsOf(start + R"({"X-A": {"a": ")" + secret + R"("}}})"),
            "headers.X-A");
  EXPECT_EQ(FieldsOf(start + R"({"hOST": "other"}})"), "headers.hOST");
  std::vector<FieldError> errors;
  EXPECT_FALSE(ParsePreviewRequest(secret, errors));
  EXPECT_FALSE(ParsePreviewRequest("[]", errors));
  ASSERT_EQ(errors.size(), 2U);
  EXPECT_EQ(errors[0].message.find(secret), std::string::npos);
}

class PreviewViewTest : public testing::Test {
 protected:
  PreviewViewTest() {
    routing_.head.version = 7;
    routing_.routes.push_back(
        {.rule = std::make_shared<const RouteRule>(
             RouteRule{.name = RouteName("r"), .pool = PoolName("p")})});
    PoolRouting pool{.spec = {.name = PoolName("p")}};
    VersionGroup group{.version = TargetVersion("v1"), .share_ppm = 1'000'000};
    for (const std::string id : {"t1", "t2"}) {
      group.targets.push_back({.info = {.id = TargetId(id),
                                        .pool = PoolName("p"),
                                        .version = TargetVersion("v1")},
                               .host = HostId("h1"),
                               .domain = FailureDomain("d1")});
    }
    pool.groups.push_back(std::move(group));
    routing_.pools.push_back(std::move(pool));
    routing_.evacuated_domains = {FailureDomain("d3")};

    preview_.now = MonoTime(Seconds(1000));
    preview_.route = 0;
    preview_.share = 0;
    preview_.pool = 0;
    for (std::uint32_t target = 0; target < 2; ++target) {
      preview_.targets.push_back(
          {.candidate = {.placement = {.target = target}}});
    }
    const ChoiceDraw draw{.first = {.target = 0},
                          .second = Placement{.target = 1},
                          .better = {.target = 1},
                          .own_domain = true,
                          .with_capacity = true};
    preview_.attempts.push_back({.placement = {.target = 1}, .draws = {draw}});
    preview_.outcome = Outcome::kSent;
    AddHost("h1", "d1", HostStatus::kAlive, {"t1", "t2"});
  }

  void AddHost(const std::string& host, const std::string& domain,
               HostStatus status, const std::vector<std::string>& targets) {
    HostRecord record{.host = HostId(host),
                      .status = status,
                      .domain = FailureDomain(domain)};
    for (const std::string& id : targets) {
      record.targets.push_back({.id = TargetId(id),
                                .pool = PoolName("p"),
                                .version = TargetVersion("v1")});
    }
    hosts_[record.host] = std::move(record);
  }

  boost::json::object View() {
    preview_.routing = std::make_shared<const EffectiveRouting>(routing_);
    return PreviewView(preview_, {.host = HostId("h1"),
                                  .domain = FailureDomain("d1"),
                                  .hosts = hosts_,
                                  .rollouts = rollouts_,
                                  .config_age = config_age_});
  }

  std::map<std::string, std::string> Exclusions() {
    std::map<std::string, std::string> reasons;
    const boost::json::object view = View();
    for (const boost::json::value& row : view.at("targets").as_array()) {
      const boost::json::value& reason = row.at("excluded");
      reasons[row.at("id").as_string().c_str()] =
          reason.is_null() ? "" : reason.as_string().c_str();
    }
    return reasons;
  }

  EffectiveRouting routing_;
  PlacementPreview preview_;
  std::map<HostId, HostRecord> hosts_;
  std::map<RolloutId, RolloutRecord> rollouts_;
  std::optional<Milliseconds> config_age_;
};

TEST_F(PreviewViewTest, RandomChoice_SaysSoAndListsTheTwoDrawn) {
  const boost::json::object view = View();
  EXPECT_EQ(view.at("random"), true);
  EXPECT_EQ(boost::json::serialize(view.at("drawn")), R"(["t1","t2"])");
  EXPECT_EQ(view.at("chosen").at("target"), "t2");
  EXPECT_EQ(view.at("outcome").at("kind"), "sent");
  EXPECT_TRUE(view.at("outcome").at("runs_at_once").is_null());
}

TEST_F(PreviewViewTest, OneCandidate_IsNotRandom) {
  preview_.attempts[0].draws[0].second.reset();
  EXPECT_EQ(View().at("random"), false);
}

TEST_F(PreviewViewTest, TargetsOutsideTheRouting_HaveTheirReasons) {
  AddHost("h3", "d3", HostStatus::kAlive, {"evacuated"});
  AddHost("h4", "d1", HostStatus::kLeaving, {"draining"});
  AddHost("h5", "d1", HostStatus::kDead, {"lost"});
  AddHost("h6", "d1", HostStatus::kSuspect, {"suspect"});
  AddHost("h7", "d1", HostStatus::kAlive, {"leaving", "old", "new", "other"});
  std::vector<TargetInfo>& targets = hosts_[HostId("h7")].targets;
  targets[0].status = TargetStatus::kLeaving;
  targets[1].version = TargetVersion("v0");
  targets[3].pool = PoolName("q");
  const std::map<std::string, std::string> expected = {
      {"t1", ""},
      {"t2", ""},
      {"evacuated", "evacuated"},
      {"draining", "departed"},
      {"lost", "departed"},
      {"suspect", "suspect_host"},
      {"leaving", "departed"},
      {"old", "other_version"},
      {"new", "not_routed_yet"}};
  EXPECT_EQ(Exclusions(), expected);
}

TEST_F(PreviewViewTest, TargetsInTheRouting_HaveTheirReasons) {
  using Reason = TargetExclusion;
  const std::pair<Reason, std::string> cases[] = {
      {Reason::kLeaving, "departed"},
      {Reason::kEjected, "ejected"},
      {Reason::kCold, "cold"},
      {Reason::kFull, "full"}};
  for (const auto& [reason, name] : cases) {
    preview_.targets[0].candidate.exclusion = reason;
    EXPECT_EQ(Exclusions()["t1"], name);
  }
  // If no target has capacity, those without it are chosen from.
  preview_.attempts[0].draws[0].with_capacity = false;
  EXPECT_EQ(Exclusions()["t1"], "");
  EXPECT_EQ(View().at("targets").at(0).at("limited_by"), "full");
}

TEST_F(PreviewViewTest, RolloutInProgress_OtherVersionIsExcluded) {
  PoolRouting& pool = routing_.pools[0];
  pool.rollout = RolloutId("p/v1/v2/1");
  pool.groups.push_back({.version = TargetVersion("v2"),
                         .share_ppm = 50'000,
                         .targets = {{.info = {.id = TargetId("t3")}}}});
  routing_.routes[0].new_share_ppm = 50'000;
  rollouts_[pool.rollout] = {.id = pool.rollout, .stage = RolloutStage::kRamp};
  preview_.targets.push_back({.candidate = {.placement = {.group = 1}}});
  EXPECT_EQ(Exclusions()["t3"], "other_version");
  const boost::json::object view = View();
  const boost::json::value& shown = view.at("pool");
  EXPECT_EQ(shown.at("versions").at(0).at("share_ppm"), 950'000);
  EXPECT_EQ(shown.at("versions").at(1).at("share_ppm"), 50'000);
  EXPECT_EQ(shown.at("rollout").at("stage"), "ramp");
}

// Guards against guesses where this host does not know.
TEST_F(PreviewViewTest, LoadOfAnotherHost_IsNullOrHasItsAge) {
  const boost::json::object before = View();
  EXPECT_TRUE(before.at("configuration").at("age_ms").is_null());
  const boost::json::value& unknown = before.at("targets").at(0);
  for (const char* member : {"speed", "expected_ms", "slots_in_use", "queue",
                             "slots_in_use_and_queue", "load_age_ms"})
    EXPECT_TRUE(unknown.at(member).is_null()) << member;
  TargetStats& stats = preview_.targets[0].candidate.stats;
  stats.reported_service_us = 1000;
  stats.reported_load = 4;
  stats.load_reported_at = preview_.now - Milliseconds(30);
  config_age_ = Milliseconds(900);
  const boost::json::object view = View();
  EXPECT_EQ(view.at("configuration").at("age_ms"), 900);
  const boost::json::value& row = view.at("targets").at(0);
  EXPECT_EQ(row.at("slots_in_use_and_queue").to_number<double>(), 4);
  EXPECT_EQ(row.at("load_age_ms"), 30);
  EXPECT_TRUE(row.at("slots_in_use").is_null());
  EXPECT_TRUE(row.at("queue").is_null());
}

TEST_F(PreviewViewTest, LoadOfThisHost_IsExact) {
  preview_.targets[0].local =
      RunPreview{.running = 2, .waiting = 1, .slots = 3, .queue = 5};
  const boost::json::object view = View();
  const boost::json::value& row = view.at("targets").at(0);
  EXPECT_EQ(row.at("slots"), 3);
  EXPECT_EQ(row.at("slots_in_use"), 2);
  EXPECT_EQ(row.at("queue"), 1);
}

TEST_F(PreviewViewTest, Refusal_HasStatusReasonAndTime) {
  preview_.outcome = Outcome::kRefused;
  preview_.error = ProxyError::kFull;
  preview_.retry_after = Milliseconds(50);
  preview_.attempts[0].refusal = ProxyError::kFull;
  const boost::json::object view = View();
  EXPECT_TRUE(view.at("chosen").is_null());
  const boost::json::value& outcome = view.at("outcome");
  EXPECT_EQ(outcome.at("status"), 503);
  EXPECT_EQ(outcome.at("reason"), "full");
  EXPECT_EQ(outcome.at("not_run"), true);
  EXPECT_EQ(outcome.at("retry_after_ms"), 50);
  EXPECT_EQ(view.at("attempts").at(0).at("refused_by_this_host"), "full");
}

TEST_F(PreviewViewTest, NoRoute_HasNoPoolAndNoTargets) {
  preview_ = {};
  preview_.error = ProxyError::kNoRoute;
  const boost::json::object view = View();
  EXPECT_TRUE(view.at("route").is_null());
  EXPECT_TRUE(view.at("pool").is_null());
  EXPECT_TRUE(view.at("targets").as_array().empty());
  EXPECT_EQ(view.at("outcome").at("status"), 404);
}

TEST_F(PreviewViewTest, Quota_IsUnknownWhereThisHostDoesNotKnow) {
  const auto team = std::make_shared<const TeamSpec>(
      TeamSpec{.name = TeamName("red"),
               .key_digests = {Digest::Of(kSecret)},
               .requests_per_second = 10});
  preview_.team = team;
  const boost::json::object view = View();
  const boost::json::value& quota = view.at("quota");
  EXPECT_TRUE(quota.at("on_this_host").is_null());
  EXPECT_TRUE(quota.at("over_all_hosts").is_null());
  preview_.quota = QuotaLimiter::AdmitPreview{.remaining = 2.5};
  const boost::json::object known = View();
  const boost::json::value& here = known.at("quota").at("on_this_host");
  EXPECT_EQ(here.at("admits"), true);
  EXPECT_TRUE(here.at("lease_left_ms").is_null());
  EXPECT_EQ(boost::json::serialize(known).find(Digest::Of(kSecret).hex()),
            std::string::npos);
}

}  // namespace
}  // namespace camphor

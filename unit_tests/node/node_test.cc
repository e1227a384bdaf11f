#include "node/node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>

#include "harness/address_block.h"
#include "harness/fleet.h"
#include "stand_ins/http/http_connection.h"
#include "stand_ins/platform/platform_stand_in.h"
#include "stand_ins/target/target_stand_in.h"

namespace camphor {
namespace {

constexpr char kTables[] = R"({
  "routes": [{"name": "bills", "path_prefix": "/billing", "pool": "billing"}],
  "pools": [{"name": "billing", "version": "v1"}]})";

/// One node with a platform and a target, all in this process.
class NodeTest : public testing::Test {
 protected:
  NodeTest() {
    EXPECT_TRUE(platform_.Start());
    StartNode();
  }

  /// Starts a process of the host. It knows what the platform keeps.
  void StartNode() {
    const std::string address = addresses_->Address(1);
    Settings settings{
        .host = HostId("h1"),
        .failure_domain = FailureDomain("d1"),
        .caller_listen = {.address = address},
        .forward_listen = {.address = address},
        .mesh_listen = {.address = address, .port = kMeshPort},
        .admin_listen = {.address = address},
        .mesh_key = "key",
        .platform = platform_.endpoint(),
        .operator_token = "token",
        .drain = {.notice = Milliseconds(1), .limit = Milliseconds(2000)}};
    settings.admin.body_bytes = kBodyBytes;
    node_ = std::make_unique<Node>(
        Node::Options{.settings = settings, .log = &log_});
    EXPECT_TRUE(node_->Start()) << node_->last_reason();
    EXPECT_TRUE(WaitUntil(kMaxWait, [this] {
      const auto answer = Admin({.method = "GET", .target = "/readyz"});
      return answer.has_value() && answer->status == 200;
    }));
  }

  /// Sends a request to the admin listener.
  std::optional<HttpResponse> Admin(HttpRequest request) {
    request.fields["host"] = "node";
    return HttpConnection(node_->admin_endpoint()).Call(request);
  }

  int Put(const std::string& body, const std::string& token,
          const std::string& base) {
    const auto answer =
        Admin({.method = "PUT",
               .target = "/v1/config",
               .fields = {{"authorization", token}, {"if-match", base}},
               .body = body});
    last_body_ = answer.has_value() ? answer->body : "";
    return answer.has_value() ? answer->status : 0;
  }

  /// Sends a periodic report of a target. Returns the status.
  int Report(const std::string& id, std::uint64_t started_ms, int sequence) {
    const boost::json::object report{
        {"pool", "billing"},
        {"address", id == "t1" ? "127.0.0.1:1" : "127.0.0.1:2"},
        {"version", "v1"},
        {"slots", 10},
        {"state", "ready"},
        {"sequence", sequence},
        {"born", started_ms}};
    const auto answer = Admin({.method = "POST",
                               .target = "/v1/targets/" + id + "/report",
                               .body = boost::json::serialize(report)});
    return answer.has_value() ? answer->status : 0;
  }

  /// Returns true if the target is listed as ready.
  bool IsReady(const std::string& id) {
    const boost::json::value view = boost::json::parse(Get("/v1/targets"));
    const auto& targets = view.at("targets").as_array();
    return std::ranges::any_of(targets, [&id](const auto& target) {
      return target.at("id").as_string() == id &&
             target.at("status") == "ready";
    });
  }

  std::string Get(const std::string& path) {
    const auto answer = Admin({.method = "GET", .target = path});
    return answer.has_value() ? answer->body : "";
  }

  std::uint64_t Version() {
    return boost::json::parse(Get("/v1/status"))
        .at("version")
        .to_number<std::uint64_t>();
  }

  int Announce(const Endpoint& target) {
    const auto answer =
        Admin({.method = "POST",
               .target = "/v1/targets",
               .body = R"({"id": "t1", "pool": "billing", "version": "v1",
                     "slots": 10, "address": ")" +
                       target.ToString() + "\"}"});
    return answer.has_value() ? answer->status : 0;
  }

  std::optional<HttpResponse> Call() {
    return HttpConnection(node_->caller_endpoint())
        .Call({.method = "GET",
               .target = "/billing/1",
               .fields = {{"host", "billing"}, {"x-request-id", "r1"}}});
  }

  static constexpr std::uint16_t kMeshPort = 18082;
  static constexpr std::uint32_t kBodyBytes = 4096;
  static constexpr Milliseconds kMaxWait{10000};

  std::optional<AddressBlock> addresses_ = AddressBlock::Reserve();
  PlatformStandIn platform_{{}};
  LogSink log_{{.write = [](const std::string&) {}}};
  std::unique_ptr<Node> node_;
  std::string last_body_;
};

using NodeAdminEdit = NodeTest;
using NodeAdminRead = NodeTest;
using NodeServe = NodeTest;
using NodeDrain = NodeTest;
using NodeRestart = NodeTest;

TEST_F(NodeAdminEdit, WithWrongToken_401AndVersionUnchanged) {
  EXPECT_EQ(Put(kTables, "", "0"), 401);
  EXPECT_EQ(Put(kTables, "Bearer wrong", "0"), 401);
  EXPECT_EQ(Version(), 0U);
}

TEST_F(NodeAdminEdit, BadBody_400WithReasonAndField) {
  EXPECT_EQ(Put(R"({"routes": [{"name": "r", "pool": "none"}], "pools": []})",
                "Bearer token", "0"),
            400);
  EXPECT_NE(last_body_.find("\"field\":\"routes"), std::string::npos)
      << last_body_;
  EXPECT_EQ(Put(std::string(kBodyBytes + 1, ' '), "Bearer token", "0"), 413);
  EXPECT_EQ(Put(kTables, "Bearer token", ""), 428);
  EXPECT_EQ(Version(), 0U);
}

TEST_F(NodeAdminEdit, Accepted_ActiveAndOlderBaseConflicts) {
  EXPECT_EQ(Put(kTables, "Bearer token", "0"), 200) << last_body_;
  EXPECT_EQ(Version(), 1U);
  EXPECT_EQ(Put(R"({"routes": [], "pools": []})", "Bearer token", "0"), 409);
  EXPECT_NE(last_body_.find("\"version\":1"), std::string::npos) << last_body_;
  EXPECT_EQ(Version(), 1U);
}

TEST_F(NodeAdminRead, EveryView_IsJsonAndMetricsAreText) {
  Put(kTables, "Bearer token", "0");
  for (const char* const path :
       {"/v1/config", "/v1/routes", "/v1/pools", "/v1/hosts", "/v1/targets",
        "/v1/teams", "/v1/rollouts", "/v1/status", "/v1/dump"}) {
    boost::json::error_code error;
    const auto view = boost::json::parse(Get(path), error);
    EXPECT_TRUE(!error && view.is_object()) << path;
  }
  const std::string metrics = Get("/metrics");
  for (const char* const name :
       {"camphor_config_version 1\n", "camphor_ring_depth{ring=\"samples\"}",
        "camphor_process_resident_bytes", "camphor_mesh_bytes_total"}) {
    EXPECT_NE(metrics.find(name), std::string::npos) << name;
  }
  EXPECT_EQ(Admin({.method = "GET", .target = "/healthz"})->status, 200);
}

TEST_F(NodeServe, AnnouncedTarget_AnswersUntilItLeaves) {
  TargetStandIn target({.id = "t1", .version = "v1"});
  ASSERT_TRUE(target.Start());
  ASSERT_EQ(Put(kTables, "Bearer token", "0"), 200);
  EXPECT_EQ(Admin({.method = "POST", .target = "/v1/targets/t1/renew"})->status,
            404);
  ASSERT_EQ(Announce(target.endpoint()), 200);
  EXPECT_EQ(Admin({.method = "POST", .target = "/v1/targets/t1/renew"})->status,
            200);
  EXPECT_TRUE(WaitUntil(kMaxWait, [this] {
    const auto answer = Call();
    return answer.has_value() && answer->status == 200;
  }));
  EXPECT_EQ(Admin({.method = "DELETE", .target = "/v1/targets/t1"})->status,
            200);
  const auto refused = Call();
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->fields.at("x-camphor-not-run"), "true");
  target.Stop();
}

using NodePreview = NodeTest;

// Guards against a preview that anybody may ask for, that runs the request, or
// that repeats what may be a key.
TEST_F(NodePreview, AnnouncedTarget_IsChosenWithoutARequest) {
  const auto preview = [this](const std::string& token,
                              const std::string& body) {
    const auto answer = Admin({.method = "POST",
                               .target = "/v1/preview",
                               .fields = {{"authorization", token}},
                               .body = body});
    last_body_ = answer.has_value() ? answer->body : "";
    return answer.has_value() ? answer->status : 0;
  };
  const std::string body =
      R"({"method": "GET", "host": "h", "path": "/billing/1",
          "headers": {"X-Key": "s3cr3t"}})";
  EXPECT_EQ(preview("Bearer token", body), 503) << last_body_;
  EXPECT_NE(last_body_.find("not_ready"), std::string::npos);
  ASSERT_EQ(Put(kTables, "Bearer token", "0"), 200);
  TargetStandIn target({.id = "t1", .version = "v1"});
  ASSERT_TRUE(target.Start());
  ASSERT_EQ(Announce(target.endpoint()), 200);
  EXPECT_TRUE(WaitUntil(kMaxWait, [&] {
    return preview("Bearer token", body) == 200 &&
           last_body_.find(R"("chosen":{)") != std::string::npos;
  })) << last_body_;
  const boost::json::value shown = boost::json::parse(last_body_);
  EXPECT_EQ(shown.at("host"), "h1");
  EXPECT_EQ(shown.at("route").at("name"), "bills");
  EXPECT_EQ(shown.at("chosen").at("target"), "t1");
  EXPECT_EQ(shown.at("outcome").at("kind"), "runs");
  EXPECT_EQ(last_body_.find("s3cr3t"), std::string::npos);
  EXPECT_NE(Get("/metrics").find("camphor_proxy_caller_requests_total 0"),
            std::string::npos);

  EXPECT_EQ(preview("", body), 401);
  EXPECT_EQ(preview("Bearer token",
                    R"({"method": "GET", "host": "h", "path": "x",
                        "headers": {"X-Key": "s3cr3t\u0001"}})"),
            400);
  EXPECT_NE(last_body_.find(R"("field":"path")"), std::string::npos);
  EXPECT_NE(last_body_.find(R"("field":"headers.X-Key")"), std::string::npos)
      << last_body_;
  EXPECT_EQ(last_body_.find("s3cr3t"), std::string::npos);
  target.Stop();
}

TEST_F(NodePreview, DrainedHost_AnswersThatItStops) {
  ASSERT_EQ(Put(kTables, "Bearer token", "0"), 200);
  EXPECT_TRUE(node_->Drain());
  const auto answer =
      Admin({.method = "POST",
             .target = "/v1/preview",
             .fields = {{"authorization", "Bearer token"}},
             .body = R"({"method": "GET", "host": "h", "path": "/"})"});
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 503);
  node_->Stop();
}

TEST_F(NodeDrain, NoRequestsInFlight_DrainsAndIsNotReady) {
  EXPECT_TRUE(node_->Drain());
  EXPECT_EQ(Admin({.method = "GET", .target = "/readyz"})->status, 503);
  node_->Stop();
}

// Guards against a target that has left and is taken for a new one by the next
// process of its host.
TEST_F(NodeRestart, LateReportOfTargetThatLeft_DoesNotBringItBack) {
  ASSERT_EQ(Report("t1", 10, 1), 200);
  ASSERT_TRUE(WaitUntil(kMaxWait, [this] { return IsReady("t1"); }));
  ASSERT_EQ(Admin({.method = "POST", .target = "/v1/targets/t1/leave"})->status,
            200);
  for (int restart = 0; restart < 2; ++restart) {
    node_.reset();
    StartNode();
    EXPECT_EQ(Report("t1", 10, 2), 200);
    // A target that is new is added, whatever the process knows by now.
    EXPECT_EQ(Report("t2", 9, 1), 200);
    ASSERT_TRUE(WaitUntil(kMaxWait, [this] { return IsReady("t2"); }));
    EXPECT_EQ(Report("t1", 10, 3), 200);
    EXPECT_FALSE(IsReady("t1"));
  }
  ASSERT_EQ(Report("t1", 11, 1), 200);
  EXPECT_TRUE(WaitUntil(kMaxWait, [this] { return IsReady("t1"); }));
}

TEST(NodeStart, AddressInUse_FailsWithReason) {
  PlatformStandIn platform{{}};
  ASSERT_TRUE(platform.Start());
  LogSink log({.write = [](const std::string&) {}});
  Node node({.settings = {.host = HostId("h1"),
                          .failure_domain = FailureDomain("d1"),
                          .caller_listen = platform.endpoint(),
                          .forward_listen = {.address = "127.0.0.1"},
                          .mesh_listen = {.address = "127.0.0.1", .port = 1},
                          .admin_listen = {.address = "127.0.0.1"},
                          .mesh_key = "key",
                          .platform = platform.endpoint(),
                          .operator_token = "token"},
             .log = &log});
  EXPECT_FALSE(node.Start());
  EXPECT_NE(node.last_reason(), "");
}

}  // namespace
}  // namespace camphor

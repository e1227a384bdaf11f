#include "platform/operator_tables.h"

#include <gtest/gtest.h>

#include "core/config/config_codec.h"

namespace camphor {
namespace {

constexpr char kConfig[] = R"({
  "version": 7, "added_later": {"x": 1},
  "services": [{"name": "a", "healthPath": "/health", "maxConnections": 110},
               {"name": "b", "maxConnections": 90}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
  "virtualHosts": [{"host": "h.example", "pathRules": [
    {"name": "r1", "prefix": "/x/", "kind": "idempotent", "timeoutMs": 500,
     "targetLatencyMs": 250, "priority": 2, "maxAttempts": 2,
     "weightedServices": [{"pool": "b", "weight": 90},
                          {"pool": "a", "weight": 10}]},
    {"name": "r2", "prefix": "/y/", "kind": "non_idempotent",
     "timeoutMs": 600, "priority": 1, "pool": "a", "maxAttempts": 1}]}]})";

class OperatorTables : public testing::Test {
 protected:
  void Put(const std::string& key, const std::string& value,
           std::uint64_t revision) {
    rows_[key] = {
        .table = "op", .key = key, .value = value, .revision = revision};
  }

  std::optional<ConfigSnapshot> Decode() {
    reason_.clear();
    return DecodeOperatorTables(rows_, reason_);
  }

  std::map<std::string, TableRow> rows_;
  std::string reason_;
};

TEST_F(OperatorTables, Config_ReturnsRoutesPoolsAndLimits) {
  Put("config", kConfig, 12);
  const auto tables = Decode();
  ASSERT_TRUE(tables) << reason_;
  EXPECT_EQ(tables->head.version, 12U);
  ASSERT_EQ(tables->routes.size(), 2U);
  const RouteRule& split_route = tables->routes[0];
  EXPECT_EQ(split_route.host, "h.example");
  EXPECT_EQ(split_route.path_prefix, "/x/");
  EXPECT_TRUE(split_route.repeatable);
  EXPECT_EQ(split_route.timeout, Milliseconds(500));
  EXPECT_EQ(split_route.target_latency, Milliseconds(250));
  EXPECT_EQ(split_route.attempts, 2U);
  EXPECT_EQ(split_route.priority, 2U);
  ASSERT_EQ(split_route.split.size(), 2U);
  EXPECT_EQ(split_route.split[0], (PoolShare{PoolName("b"), 90}));
  EXPECT_EQ(split_route.pool, PoolName("b"));
  const RouteRule& single_pool_route = tables->routes[1];
  EXPECT_FALSE(single_pool_route.repeatable);
  EXPECT_FALSE(single_pool_route.at_most_once);
  EXPECT_FALSE(single_pool_route.hedge_share);
  EXPECT_EQ(single_pool_route.pool, PoolName("a"));
  EXPECT_EQ(tables->pools[0].connections_per_target, 110U);
  EXPECT_EQ(tables->limits.body_bytes, 1000U);
  EXPECT_EQ(tables->limits.idle_timeout, Milliseconds(15000));
}

TEST_F(OperatorTables, SameRows_ReturnSameHead) {
  Put("config", kConfig, 12);
  Put("rollout/a", R"({"pool": "a", "target": "v2", "durationS": 12})", 15);
  EXPECT_EQ(Decode()->head, Decode()->head);
  EXPECT_EQ(Decode()->head.version, 15U);
}

TEST_F(OperatorTables, RolloutOrder_IsAttachedToItsPool) {
  Put("config", kConfig, 12);
  Put("rollout/a", R"({"pool": "a", "target": "v2", "durationS": 12})", 15);
  const auto tables = Decode();
  ASSERT_TRUE(tables) << reason_;
  ASSERT_TRUE(tables->pools[0].rollout);
  EXPECT_EQ(*tables->pools[0].rollout,
            (RolloutSpec{.version = TargetVersion("v2"),
                         .allowed = Seconds(12),
                         .attempt = 15}));
  EXPECT_FALSE(tables->pools[1].rollout);
}

TEST_F(OperatorTables, RolloutOrderWithoutVersionOrDuration_IsIgnored) {
  for (const char* order :
       {R"({"pool": "a", "durationS": 12})", R"({"pool": "a", "target": "v2"})",
        R"({"pool": "a", "target": "v2", "durationS": "soon"})",
        R"({"pool": "a", "target": 7, "durationS": 12})"}) {
    Put("config", kConfig, 12);
    Put("rollout/a", order, 15);
    const auto tables = Decode();
    ASSERT_TRUE(tables) << reason_;
    EXPECT_FALSE(tables->pools[0].rollout) << order;
    EXPECT_FALSE(reason_.empty()) << order;
  }
}

TEST_F(OperatorTables, MalformedRolloutOrder_KeepsConfiguration) {
  Put("config", kConfig, 12);
  Put("rollout/a", "{not json", 15);
  EXPECT_TRUE(Decode());
  EXPECT_FALSE(reason_.empty());
}

// Another writer may leave an entry that the operator did not write.
TEST_F(OperatorTables, OddEntries_KeepConfiguration) {
  Put("config", kConfig, 12);
  const std::string nested =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::vector<std::string> odd = {
      nested,
      R"({"pool": "a", "target": "v2", "durationS": 1e400})",
      R"({"pool": "a", "target": "v2", "durationS": 99999999999999999999999})",
      R"({"pool": ["a"], "target": {}, "durationS": "16"})",
      std::string("\0\xff\xfe", 3),
      "null",
      ""};
  std::uint64_t revision = 12;
  for (const std::string& value : odd) {
    Put("rollout/a", value, ++revision);
    const auto snapshot = Decode();
    ASSERT_TRUE(snapshot) << value.substr(0, 80);
    EXPECT_EQ(snapshot->routes.size(), 2U);
    EXPECT_FALSE(snapshot->pools.at(0).rollout) << value.substr(0, 80);
    EXPECT_FALSE(reason_.empty()) << value.substr(0, 80);
  }
}

TEST_F(OperatorTables, EvacuationRows_NameTheDomains) {
  Put("config", kConfig, 12);
  EXPECT_TRUE(Decode()->evacuated_domains.empty());
  Put("evacuate/z-2", "{}", 13);
  Put("evacuate/a-1", "", 14);
  const auto tables = Decode();
  ASSERT_TRUE(tables) << reason_;
  EXPECT_EQ(tables->evacuated_domains,
            (std::vector{FailureDomain("a-1"), FailureDomain("z-2")}));
  EXPECT_EQ(tables->head.version, 14U);
  EXPECT_TRUE(reason_.empty()) << reason_;
}

TEST_F(OperatorTables, EvacuationWithoutDomain_IsReportedAndLeftOut) {
  Put("config", kConfig, 12);
  Put("evacuate/", "{}", 13);
  const auto tables = Decode();
  ASSERT_TRUE(tables);
  EXPECT_TRUE(tables->evacuated_domains.empty());
  EXPECT_FALSE(reason_.empty());
}

TEST_F(OperatorTables, ColdRate_IsReadFromItsService) {
  Put("config", R"({"services": [{"name": "a", "coldPerS": 15.0},
                                 {"name": "b"}]})",
      12);
  const auto tables = Decode();
  ASSERT_TRUE(tables) << reason_;
  EXPECT_EQ(tables->pools[0].cold_requests_per_second, 15.0);
  EXPECT_EQ(tables->pools[1].cold_requests_per_second, 0.0);
}

TEST_F(OperatorTables, NoConfig_ReturnsReason) {
  Put("rollout/a", R"({"pool": "a", "target": "v2"})", 15);
  EXPECT_FALSE(Decode());
  EXPECT_FALSE(reason_.empty());
}

// A kind of a later version once took the whole configuration from the fleet.
TEST_F(OperatorTables, UnknownKind_IsNotRepeatableAndReported) {
  Put("config", R"({"services": [{"name": "a"}], "virtualHosts": [
      {"host": "h", "pathRules": [
        {"name": "r", "prefix": "/x/", "kind": "often", "pool": "a"}]}]})",
      12);
  const auto tables = Decode();
  ASSERT_TRUE(tables) << reason_;
  EXPECT_FALSE(tables->routes[0].repeatable);
  EXPECT_NE(reason_.find("kind"), std::string::npos);
}

// Guards against uploads that are repeated and downloads that are not.
TEST_F(OperatorTables, UploadAndDownload_OnlyDownloadIsRepeatable) {
  Put("config", R"({"services": [{"name": "a"}], "virtualHosts": [
      {"host": "h", "pathRules": [
        {"name": "r1", "prefix": "/x/", "kind": "download", "pool": "a",
         "public": true},
        {"name": "r2", "prefix": "/y/", "kind": "upload", "pool": "a"}]}]})",
      12);
  const auto tables = Decode();
  ASSERT_TRUE(tables) << reason_;
  EXPECT_TRUE(reason_.empty()) << reason_;
  EXPECT_TRUE(tables->routes[0].repeatable);
  EXPECT_TRUE(tables->routes[0].is_public);
  EXPECT_FALSE(tables->routes[1].repeatable);
  EXPECT_FALSE(tables->routes[1].is_public);
}

TEST_F(OperatorTables, Teams_AreReadWithDigestsInPlaceOfKeys) {
  Put("config", R"({"tenants": [{"name": "t1", "apiKeys": ["k1", "k2"],
      "priority": 2, "ratePerS": 12.5, "burst": 20}, {"name": "t2"}]})",
      12);
  const auto tables = Decode();
  ASSERT_TRUE(tables) << reason_;
  ASSERT_EQ(tables->teams.teams().size(), 2U);
  const TeamSpec& team = tables->teams.teams()[0];
  EXPECT_EQ(team.name, TeamName("t1"));
  EXPECT_EQ(team.priority, 2U);
  EXPECT_EQ(team.requests_per_second, 12.5);
  EXPECT_EQ(team.burst, 20);
  EXPECT_EQ(tables->teams.FindByKey("k2"), &team);
  EXPECT_EQ(tables->teams.FindByKey("k3"), nullptr);
  EXPECT_EQ(ConfigCodec::Encode(*tables).find("k1"), std::string::npos);
}

// A key is a secret, so that errors, which are logged, must not show it.
TEST_F(OperatorTables, MalformedTeams_AreRejectedWithoutNamingTheKey) {
  for (const char* text :
       {R"({"tenants": [{"name": "t1", "apiKeys": ["secret", ""]}]})",
        R"({"tenants": [{"name": "t1", "apiKeys": ["secret", "secret"]}]})",
        R"({"tenants": [{"name": "t1", "apiKeys": ["secret"]},
                        {"name": "t2", "apiKeys": ["secret"]}]})",
        R"({"tenants": [{"name": "t1", "apiKeys": "secret"}]})",
        R"({"tenants": [{"name": "t1"}, {"name": "t1"}]})",
        R"({"tenants": [{"name": "t1", "ratePerS": -1}]})",
        R"({"tenants": [{"name": "t1", "burst": "much"}]})"}) {
    Put("config", text, 12);
    EXPECT_FALSE(Decode()) << text;
    EXPECT_FALSE(reason_.empty()) << text;
    EXPECT_EQ(reason_.find("secret"), std::string::npos) << reason_;
  }
}

TEST_F(OperatorTables, MalformedConfigs_AreRejectedWithReason) {
  for (const char* text :
       {"", "[]", "{\"services\": 1}", "\xff\xfe",
        R"({"services": [], "virtualHosts": [{"host": "h", "pathRules": [
            {"name": "r", "prefix": "/x/", "kind": "idempotent",
             "pool": "missing"}]}]})",
        R"({"services": [{"name": "a"}], "virtualHosts": [{"host": "h",
            "pathRules": [{"name": "r", "prefix": "x", "kind": "idempotent",
                           "pool": "a"}]}]})",
        R"({"services": [{"name": "a"}], "virtualHosts": [{"host": "h",
            "pathRules": [{"name": "r", "prefix": "/x/", "kind": 7,
                           "pool": "a"}]}]})",
        R"({"services": [{"name": "a"}], "virtualHosts": [{"host": "h",
            "pathRules": [{"name": "r", "prefix": "/x/",
                           "pool": "a"}]}]})"}) {
    Put("config", text, 12);
    EXPECT_FALSE(Decode()) << text;
    EXPECT_FALSE(reason_.empty()) << text;
  }
}

}  // namespace
}  // namespace camphor

#include "core/config/config_codec.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

constexpr std::string_view kTables = R"({
  // Quality lookups may be retried, orders may not.
  "routes": [
    {"name": "orders", "path_prefix": "/orders", "pool": "ordering", "at_most_once": true},
    {"name": "lookup", "path_prefix": "/quality", "pool": "quality", "repeatable": true},
  ],
  "pools": [
    {"name": "quality", "version": "v1"},
    {"name": "ordering", "version": "v1",
     "rollout": {"version": "v2", "complete_by": "2027-03-31T18:00:00Z"}},
  ],
})";

TEST(ConfigCodecDecode, ValidTablesWithComments_ReturnsSortedSnapshot) {
  ConfigCodec codec;
  const auto snapshot = codec.Decode(kTables, 7);
  ASSERT_TRUE(snapshot) << codec.last_reason().ToString();
  EXPECT_EQ(snapshot->head.version, 7U);
  EXPECT_EQ(snapshot->routes[0].name, RouteName("lookup"));
  EXPECT_EQ(snapshot->pools[0].rollout->version, TargetVersion("v2"));
}

TEST(ConfigCodecDecode, EncodedSnapshot_ReturnsSameSnapshotAndDigest) {
  ConfigCodec codec;
  const auto first = codec.Decode(kTables, 7);
  const auto second =
      codec.DecodeVerified(ConfigCodec::Encode(*first), first->head);
  ASSERT_TRUE(second) << codec.last_reason().ToString();
  EXPECT_EQ(*first, *second);
}

TEST(ConfigCodecDecode, RouteToUndefinedPool_ReportsMissingPool) {
  ConfigCodec codec;
  EXPECT_FALSE(codec.Decode(
      R"({"routes": [{"name": "a", "pool": "gone"}], "pools": []})", 1));
  EXPECT_EQ(codec.last_reason().kind, ConfigError::Kind::kMissingPool);
}

TEST(ConfigCodecDecode, SeveralInvalidFields_AreAllReported) {
  ConfigCodec codec;
  EXPECT_FALSE(codec.Decode(
      R"({"pools": [{"name": "p", "version": "v1", "slots_per_target": 0, "colour": 1}, {"name": "p", "version": 3}]})",
      1));
  EXPECT_EQ(codec.errors().size(), 4U);
}

TEST(ConfigCodecDecode, DigestMismatch_IsRejected) {
  ConfigCodec codec;
  EXPECT_FALSE(codec.DecodeVerified(
      kTables, {.version = 7, .digest = Digest::Of("other")}));
  EXPECT_EQ(codec.last_reason().kind, ConfigError::Kind::kDigestMismatch);
}

TEST(ConfigCodecDecode, InvalidJson_ReportsTheLine) {
  ConfigCodec codec;
  EXPECT_FALSE(codec.Decode("{\n\"routes\": [,]}", 1));
  EXPECT_NE(codec.last_reason().message.find("line 2"), std::string::npos);
}

TEST(ConfigCodecDecode, SplitRouteAndLimits_RoundTrip) {
  ConfigCodec codec;
  const auto snapshot = codec.Decode(
      R"({"routes": [{"name": "r", "split": [{"pool": "b", "weight": 90},
                                             {"pool": "a", "weight": 10}],
                      "attempts": 2, "target_latency_ms": 250,
                      "priority": 1}],
          "pools": [{"name": "a"}, {"name": "b", "rollout": {"version": "v2",
                                                     "allowed_ms": 12000,
                                                     "attempt": 900}}],
          "limits": {"body_bytes": 10}})",
      3);
  ASSERT_TRUE(snapshot) << codec.last_reason().message;
  EXPECT_EQ(snapshot->routes[0].pool, PoolName("b"));
  EXPECT_EQ(snapshot->routes[0].split[1].weight, 10U);
  EXPECT_EQ(snapshot->limits.body_bytes, 10U);
  EXPECT_EQ(codec.Decode(ConfigCodec::Encode(*snapshot), 3), snapshot);
}

TEST(ConfigCodecDecode, SplitRouteWithUndefinedPool_IsRejected) {
  ConfigCodec codec;
  EXPECT_FALSE(codec.Decode(
      R"({"routes": [{"name": "r", "split": [{"pool": "a", "weight": 1},
                                             {"pool": "b", "weight": 1}]}],
          "pools": [{"name": "a"}]})",
      3));
  EXPECT_EQ(codec.last_reason().kind, ConfigError::Kind::kMissingPool);
}

}  // namespace
}  // namespace camphor

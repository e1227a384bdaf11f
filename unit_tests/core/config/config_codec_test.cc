#include "core/config/config_codec.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "core/config/table_diff.h"

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

std::string TablesWithRoute(const std::string& fields) {
  return fmt::format(
      R"({{"routes":[{{"name":"r","path_prefix":"/","pool":"p",)"
      R"("timeout_ms":2000,"repeatable":true,"at_most_once":false{}}}],)"
      R"("pools":[{{"name":"p","slots_per_target":10,)"
      R"("connections_per_target":100,"queue_per_target":20,)"
      R"("max_ejected_percent":30}}]}})",
      fields);
}

// Guards against bytes between hosts, and against other digests, where the
// field is not used.
TEST(ConfigCodecEncode, NoHedgeShare_BytesAreAsBeforeTheField) {
  ConfigCodec codec;
  const std::string plain = TablesWithRoute("");
  const auto snapshot = codec.Decode(plain, 1);
  ASSERT_TRUE(snapshot) << codec.last_reason().ToString();
  EXPECT_FALSE(snapshot->routes[0].hedge_share);
  EXPECT_EQ(ConfigCodec::Encode(*snapshot), plain);
  EXPECT_EQ(snapshot->head.digest, Digest::Of(plain));
}

// Guards against a share of 0 (never) that is taken for an absent one.
TEST(ConfigCodecDecode, HedgeShareOfZero_IsNotAbsent) {
  ConfigCodec codec;
  const auto snapshot = codec.Decode(TablesWithRoute(R"(,"hedge_share":0)"), 1);
  ASSERT_TRUE(snapshot) << codec.last_reason().ToString();
  EXPECT_EQ(snapshot->routes[0].hedge_share, 0.0);
  const auto again =
      codec.DecodeVerified(ConfigCodec::Encode(*snapshot), snapshot->head);
  ASSERT_TRUE(again) << codec.last_reason().ToString();
  EXPECT_EQ(*again, *snapshot);
}

// Guards against a share that is not the same after it was written and read, so
// that every other host rejects the tables by their digest.
TEST(ConfigCodecDecode, AnyHedgeShare_HasTheSameDigestOnEveryHost) {
  EXPECT_TRUE(rc::check([] {
    const double share =
        *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000'001) / 1e15;
    ConfigCodec codec;
    const auto snapshot = codec.Decode(
        TablesWithRoute(fmt::format(R"(,"hedge_share":{})", share)), 1);
    RC_ASSERT(snapshot.has_value());
    RC_ASSERT(snapshot->routes[0].hedge_share.has_value());
    RC_ASSERT(std::abs(*snapshot->routes[0].hedge_share - share) < 1e-6);
    const auto again =
        codec.DecodeVerified(ConfigCodec::Encode(*snapshot), snapshot->head);
    RC_ASSERT(again.has_value());
    RC_ASSERT(*again == *snapshot);
  }));
}

TEST(ConfigCodecDecode, InvalidHedgeShare_IsReportedByName) {
  for (const std::string value :
       {"-0.1", "1.01", "\"0.1\"", "null", "true", "1e999", "[]"}) {
    ConfigCodec codec;
    EXPECT_FALSE(codec.Decode(TablesWithRoute(",\"hedge_share\":" + value), 1))
        << value;
    ASSERT_EQ(codec.errors().size(), 1U) << value;
    EXPECT_EQ(codec.errors().front().field, "routes[0].hedge_share") << value;
  }
}

// Guards against tables of a later version that are rejected or that lose a
// field on their way through a host that does not know it.
TEST(ConfigCodecDecode, RouteFieldOfALaterVersion_IsKeptWithItsDigest) {
  const std::string text = TablesWithRoute(
      R"(,"hedge_share":5E-2,"later_share":1.25E-1,"later":{"a":[1,null]})");
  ConfigCodec codec;
  const auto snapshot =
      codec.DecodeVerified(text, {.version = 3, .digest = Digest::Of(text)});
  ASSERT_TRUE(snapshot) << codec.last_reason().ToString();
  EXPECT_EQ(snapshot->routes[0].hedge_share, 0.05);
  EXPECT_EQ(ConfigCodec::Encode(*snapshot), text);
}

// Guards against a misspelled field of an operator that is silently ignored.
TEST(ConfigCodecDecode, UnknownRouteFieldOfAnOperator_IsReportedByName) {
  ConfigCodec codec;
  EXPECT_FALSE(codec.Decode(TablesWithRoute(R"(,"hedge_shair":0.1)"), 1));
  EXPECT_EQ(codec.last_reason().field, "routes[0].hedge_shair");
}

// Guards against a change of the share that operators are not shown.
TEST(TableDiffBetween, HedgeShareChanges_IsListed) {
  ConfigCodec codec;
  const auto before = codec.Decode(TablesWithRoute(""), 1);
  const auto after = codec.Decode(TablesWithRoute(R"(,"hedge_share":0.05)"), 2);
  ASSERT_TRUE(before && after);
  const TableDiff diff = TableDiff::Between(*before, *after);
  ASSERT_EQ(diff.rows.size(), 1U);
  EXPECT_EQ(diff.rows[0].fields,
            (std::vector<FieldChange>{
                {.field = "hedge_share", .before = "", .after = "5E-2"}}));
}

}  // namespace
}  // namespace camphor

#include "core/config/config_delta.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "core/config/config_codec.h"
#include "core/config/table_diff.h"

namespace camphor {
namespace {

// Generates the field, which may be absent.
std::string GenerateHedgeShare() {
  const int thousandths = *rc::gen::inRange(-500, 1001);
  return thousandths < 0
             ? ""
             : fmt::format(R"(, "hedge_share": {})", thousandths / 1000.0);
}

// Generates a snapshot with up to six pools, each with up to two routes.
ConfigSnapshot GenerateSnapshot(ConfigVersion version) {
  std::string pools;
  std::string routes;
  for (int pool = 0; pool < 6; ++pool) {
    if (*rc::gen::inRange(0, 3) == 0) continue;
    pools += fmt::format(R"({{"name": "p{}", "version": "v{}"}},)", pool,
                         *rc::gen::inRange(0, 3));
    for (int route = *rc::gen::inRange(0, 3); route > 0; --route)
      routes += fmt::format(
          R"({{"name": "r{}-{}", "pool": "p{}", "timeout_ms": {}{}}},)", pool,
          route, pool, *rc::gen::inRange(1, 4), GenerateHedgeShare());
  }
  std::string teams;
  for (int team = *rc::gen::inRange(0, 4); team > 0; --team)
    teams += fmt::format(R"({{"name": "t{}", "key_digests": ["{:064x}"],
                           "requests_per_second": {}}},)",
                         team, team, *rc::gen::inRange(0, 3));
  const std::string domain = *rc::gen::inRange(0, 2) == 0 ? "" : R"("d1")";
  ConfigCodec codec;
  return *codec.Decode(
      fmt::format(R"({{"routes": [{}], "pools": [{}], "teams": [{}],
                      "evacuated_domains": [{}],
                      "limits": {{"body_bytes": {}}}}})",
                  routes, pools, teams, domain, *rc::gen::inRange(0, 3)),
      version);
}

TEST(ConfigDeltaApply, DeltaBetweenAnySnapshots_TurnsFirstIntoSecond) {
  EXPECT_TRUE(rc::check([] {
    const ConfigSnapshot from = GenerateSnapshot(1);
    const ConfigSnapshot to = GenerateSnapshot(2);
    const ConfigDelta delta = ConfigDelta::Between(from, to);
    ConfigError reason;
    const auto decoded =
        ConfigDelta::Decode(delta.Encode(), delta.base, delta.head, reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == delta);
    RC_ASSERT(decoded->Apply(from, reason) == to);
    RC_ASSERT(TableDiff::Between(from, to).rows.empty() ==
              (from.head.digest == to.head.digest));
  }));
}

TEST(ConfigDeltaApply, DifferentBase_IsRejected) {
  EXPECT_TRUE(rc::check([] {
    ConfigCodec codec;
    const ConfigSnapshot other =
        *codec.Decode(R"({"pools": [{"name": "other", "version": "v1"}]})", 1);
    const ConfigDelta delta =
        ConfigDelta::Between(GenerateSnapshot(1), GenerateSnapshot(2));
    ConfigError reason;
    RC_ASSERT(!delta.Apply(other, reason));
    RC_ASSERT(reason.kind == ConfigError::Kind::kBaseMismatch);
  }));
}

TEST(ConfigDeltaApply, MissingRow_IsDigestMismatch) {
  ConfigCodec codec;
  const ConfigSnapshot from = *codec.Decode(R"({"pools": []})", 1);
  const ConfigSnapshot to = *codec.Decode(
      R"({"pools": [{"name": "a", "version": "1"}, {"name": "b", "version": "1"}]})",
      2);
  ConfigDelta delta = ConfigDelta::Between(from, to);
  delta.pools.pop_back();
  ConfigError reason;
  EXPECT_FALSE(delta.Apply(from, reason));
  EXPECT_EQ(reason.kind, ConfigError::Kind::kDigestMismatch);
}

TEST(ConfigDeltaDecode, UnknownField_IsReportedByName) {
  ConfigError reason;
  EXPECT_FALSE(ConfigDelta::Decode(R"({"routs": []})", {}, {}, reason));
  EXPECT_EQ(reason.field, "routs");
}

// Guards against a delta of a later version that is rejected, or that loses a
// field on its way through a host that does not know it.
TEST(ConfigDeltaApply, RouteFieldOfALaterVersion_IsKeptWithItsDigest) {
  const std::string before =
      R"({"routes":[],"pools":[{"name":"p","slots_per_target":10,)"
      R"("connections_per_target":100,"queue_per_target":20,)"
      R"("max_ejected_percent":30}]})";
  const std::string row =
      R"({"name":"r","path_prefix":"/","pool":"p","timeout_ms":2000,)"
      R"("repeatable":true,"at_most_once":false,"hedge_share":5E-2,)"
      R"("later_share":1.25E-1})";
  std::string after = before;
  after.insert(after.find(']'), row);
  ConfigCodec codec;
  const auto from = codec.Decode(before, 1);
  ASSERT_TRUE(from);
  const ConfigHead head{.version = 2, .digest = Digest::Of(after)};
  ConfigError reason;
  const auto delta = ConfigDelta::Decode(R"({"routes":[)" + row + "]}",
                                         from->head, head, reason);
  ASSERT_TRUE(delta) << reason.ToString();
  const auto to = delta->Apply(*from, reason);
  ASSERT_TRUE(to) << reason.ToString();
  EXPECT_EQ(ConfigCodec::Encode(*to), after);
  // Passed on, with changes of its own.
  EXPECT_NE(ConfigDelta::Between(*from, *to).Encode().find(row),
            std::string::npos);
}

TEST(TableDiffBetween, AddedRemovedAndChangedRows_AreListedWithFields) {
  ConfigCodec codec;
  const ConfigSnapshot before = *codec.Decode(
      R"({"pools": [{"name": "a", "version": "1"}, {"name": "b", "version": "1"}]})",
      1);
  const ConfigSnapshot after = *codec.Decode(
      R"({"pools": [{"name": "b", "version": "2"}, {"name": "c", "version": "1"}]})",
      2);
  const TableDiff diff = TableDiff::Between(before, after);
  ASSERT_EQ(diff.rows.size(), 3U);
  EXPECT_EQ(diff.rows[0].kind, RowChange::Kind::kRemoved);
  EXPECT_EQ(diff.rows[1].kind, RowChange::Kind::kChanged);
  EXPECT_EQ(diff.rows[1].fields,
            (std::vector<FieldChange>{
                {.field = "version", .before = "\"1\"", .after = "\"2\""}}));
  EXPECT_EQ(diff.rows[2].kind, RowChange::Kind::kAdded);
  EXPECT_NE(diff.ToText().find("~ pools b\n    version: \"1\" -> \"2\""),
            std::string::npos);
}

}  // namespace
}  // namespace camphor

#include "node/json/record_json.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace camphor {
namespace {

TEST(ParseRolloutRecord, SerializedRecord_RoundTrips) {
  const RolloutRecord record{
      .id = RolloutId("billing/v1/v2/1"),
      .stage = RolloutStage::kRolledBack,
      .stage_since = WallTime(Seconds(1800000000)),
      .recorded = true,
      .reason = {.signal = "failures",
                 .route = RouteName("charge"),
                 .new_requests = 400,
                 .old_requests = 9000,
                 .sentence = "the new version failed \"more\""}};
  EXPECT_EQ(ParseRolloutRecord(boost::json::serialize(ToJson(record))), record);
}

TEST(ParseRolloutRecord, WithoutReason_RoundTrips) {
  const RolloutRecord record{.id = RolloutId("billing/v1/v2/1"),
                             .stage = RolloutStage::kDone,
                             .share_ppm = 1000000};
  EXPECT_EQ(ParseRolloutRecord(boost::json::serialize(ToJson(record))), record);
}

TEST(ParseRolloutRecord, UnknownStage_Rejected) {
  EXPECT_FALSE(ParseRolloutRecord(
                   R"({"id": "a/b/c/1", "stage": "late", "share_ppm": 0,
                       "stage_since": "2027-03-31T18:00:00Z"})")
                   .has_value());
}

}  // namespace
}  // namespace camphor

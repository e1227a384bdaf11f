#include "core/membership/target_announcement.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(TargetAnnouncementParseReport, CompleteReport_IsParsed) {
  std::vector<FieldError> errors;
  const auto report = TargetAnnouncement::ParseReport(
      TargetId("i-1"),
      R"({"pool": "p", "address": "10.0.0.1:80", "failure_domain": "d",
          "version": "v1", "slots": 9, "state": "draining", "warming_ms": 40,
          "sequence": 4, "born": 1788886432000, "new_field": []})",
      errors);
  ASSERT_TRUE(report) << errors.front().message;
  EXPECT_EQ(report->slots, 9U);
  EXPECT_TRUE(report->leaving);
  EXPECT_FALSE(report->warm);
  EXPECT_EQ(report->started_ms, 1788886432000U);
  EXPECT_EQ(report->sequence, 4U);
}

TEST(TargetAnnouncementParseReport, OddReports_ReturnErrors) {
  const std::string head = R"({"pool": "p", "version": "v", "slots": )";
  const std::string tail = R"(, "state": "ready", "sequence": 1})";
  const std::vector<std::string> odd = {
      std::string(100'000, '[') + std::string(100'000, ']'),
      head + "1e400" + R"(, "address": "10.0.0.1:80")" + tail,
      head + "99999999999999999999999" + R"(, "address": "10.0.0.1:80")" + tail,
      head + "4" + R"(, "address": "10.0.0.1:70000")" + tail,
      head + "4" + R"(, "address": "10.0.0.1:-1")" + tail,
      head + "4" + R"(, "address": {"a": 1})" + tail,
      std::string("\0\xff", 2)};
  for (const std::string& text : odd) {
    std::vector<FieldError> errors;
    EXPECT_FALSE(TargetAnnouncement::ParseReport(TargetId("t"), text, errors))
        << text.substr(0, 80);
    EXPECT_FALSE(errors.empty()) << text.substr(0, 80);
  }
}

TEST(TargetAnnouncementParseReport, MalformedReport_ReturnsErrors) {
  for (const char* text :
       {"", "[]", "\xff", "{}",
        R"({"pool": 1, "address": "10.0.0.1:80", "version": "v1", "slots": 9,
            "state": "ready", "sequence": 4})",
        R"({"pool": "p", "address": "nowhere", "version": "v1", "slots": 9,
            "state": "ready", "sequence": 4})",
        R"({"pool": "p", "address": "10.0.0.1:80", "version": "v1", "slots": 0,
            "state": "ready", "sequence": 4})",
        R"({"pool": "p", "address": "10.0.0.1:80", "version": "v1", "slots": 9,
            "state": "asleep", "sequence": 4})",
        R"({"pool": "p", "address": "10.0.0.1:80", "version": "v1", "slots": 9,
            "state": "ready"})",
        R"({"pool": "p", "address": "10.0.0.1:80", "version": "v1", "slots": 9,
            "state": "ready", "sequence": 4, "born": 1.5})"}) {
    std::vector<FieldError> errors;
    EXPECT_FALSE(TargetAnnouncement::ParseReport(TargetId("i"), text, errors))
        << text;
    EXPECT_FALSE(errors.empty()) << text;
  }
}

}  // namespace
}  // namespace camphor

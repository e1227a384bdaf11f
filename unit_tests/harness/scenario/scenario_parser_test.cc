#include "harness/scenario/scenario_parser.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

class ScenarioParserTest : public testing::Test {
 protected:
  ScenarioParser parser_{{"start hosts {count:count}", "kill {hosts:names}",
                          "start target {id:name} on {host:name} [version "
                          "{version:name}] [with {more:text}]",
                          "expect version {version:count} within {time:time}"}};
};

TEST_F(ScenarioParserTest, StepsWithComments_AreParsed) {
  const auto steps = parser_.Parse(
      "# a comment\n"
      "start hosts 6   # six\n"
      "\n"
      "kill h1,h2\n"
      "expect version 3 within 500ms\n"
      "expect version 3 within 2s\n");
  ASSERT_TRUE(steps) << parser_.last_reason().ToString();
  ASSERT_EQ(steps->size(), 4U);
  EXPECT_EQ((*steps)[0].arguments.Count("count"), 6U);
  EXPECT_EQ((*steps)[1].arguments.Names("hosts"),
            (std::vector<std::string>{"h1", "h2"}));
  EXPECT_EQ((*steps)[1].line, 4U);
  EXPECT_EQ((*steps)[2].arguments.Time("time"), Milliseconds(500));
  EXPECT_EQ((*steps)[3].arguments.Time("time"), Milliseconds(2000));
}

TEST_F(ScenarioParserTest, OptionalParts_CanBeOmitted) {
  const auto steps = parser_.Parse(
      "start target t1 on h1\n"
      "start target t1 on h1 version v2\n"
      "start target t1 on h1 with \"--slots 3\"\n");
  ASSERT_TRUE(steps) << parser_.last_reason().ToString();
  EXPECT_FALSE((*steps)[0].arguments.Has("version"));
  EXPECT_EQ((*steps)[1].arguments.Text("version"), "v2");
  EXPECT_EQ((*steps)[2].arguments.Text("more"), "--slots 3");
}

TEST_F(ScenarioParserTest, InvalidLine_ErrorHasLineAndColumn) {
  EXPECT_FALSE(parser_.Parse("start hosts 6\nstart target t1 at h1\n"));
  EXPECT_EQ(parser_.last_reason().ToString(),
            "line 2 column 17: expected 'on'");
  EXPECT_FALSE(parser_.Parse("expect version 3 within 2\n"));
  EXPECT_EQ(parser_.last_reason().ToString(),
            "line 1 column 25: expected time (time)");
  EXPECT_FALSE(parser_.Parse("start hosts"));
  EXPECT_EQ(parser_.last_reason().ToString(),
            "line 1 column 13: expected count (count)");
  EXPECT_FALSE(parser_.Parse("start hosts 6 now"));
  EXPECT_EQ(parser_.last_reason().ToString(),
            "line 1 column 15: 'now' is unexpected");
  EXPECT_FALSE(parser_.Parse("dance"));
  EXPECT_EQ(parser_.last_reason().ToString(),
            "line 1 column 1: no step starts with 'dance'");
  EXPECT_FALSE(parser_.Parse("start target t1 on h1 with \"x"));
  EXPECT_EQ(parser_.last_reason().ToString(),
            "line 1 column 28: unterminated quote");
}

}  // namespace
}  // namespace camphor

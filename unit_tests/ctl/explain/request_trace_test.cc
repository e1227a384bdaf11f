#include "ctl/explain/request_trace.h"

#include <gtest/gtest.h>

#include <sstream>

#include "ctl/explain/log_reader.h"

namespace camphor {
namespace {

constexpr char kLog[] =
    R"(camphord node: ready took_ms=80 t_ms=1000 host=h1
camphord targets: a target's report changed what is known of it target=t1 pool=p state=leaving t_ms=8000 host=h2
camphord targets: a target's report changed what is known of it target=t9 pool=q state=ready t_ms=8001 host=h2
camphord proxy: a request was refused and has not run request=a1 hop=target route="" pool="" target=t1 attempt=1 status=503 reason=full version=16 age_us=0 left_us=515786 in_flight=9 waiting=20 usual_us=0 left_out=3 level=warning t_ms=9001 host=h2
camphord proxy: a request is tried again request=a1 hop=caller route=r pool=p target=t1 attempt=1 status=0 reason=full version=16 age_us=5000 left_us=510000 in_flight=9 waiting=0 usual_us=185000 left_out=0 level=warning t_ms=9002 host=h1
a line of another program
prefix of a collector camphord proxy: a request was refused and has not run request=a1 hop=caller route=r pool=p target=t2 attempt=2 status=503 reason=too_late version=16 age_us=11000 left_us=504000 in_flight=1 waiting=0 usual_us=190000 left_out=4 level=warning t_ms=9008 host=h1
camphord proxy: a request was answered request=b2 hop=caller target=t2 status=200 reason="" left_out=4 t_ms=9100 host=h1
)";

std::vector<LogLine> Log() {
  std::istringstream input(kLog);
  return ReadLog(input, "unnamed");
}

TEST(LogLineParse, LineWithCollectorPrefix_IsParsedWithAllFields) {
  const auto line = LogLine::Parse(
      R"(12:01 h1 camphord rollout: a rollout changed sentence="a \"b\" c=d" )"
      R"(empty="" n=7 t_ms=5 host=h1)");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->part, "rollout");
  EXPECT_EQ(line->sentence, "a rollout changed");
  EXPECT_EQ(line->Field("sentence"), "a \"b\" c=d");
  EXPECT_EQ(line->Field("empty"), "");
  EXPECT_EQ(line->Number("n"), 7U);
  EXPECT_EQ(line->t_ms, 5);
  EXPECT_EQ(line->host, "h1");
}

TEST(LogLineParse, InvalidOrTruncatedLine_IsRejectedOrPartlyParsed) {
  EXPECT_FALSE(LogLine::Parse(""));
  EXPECT_FALSE(LogLine::Parse("camphord without a part"));
  const auto truncated = LogLine::Parse("camphord proxy: a request was an");
  ASSERT_TRUE(truncated);
  EXPECT_EQ(truncated->sentence, "a request was an");
  EXPECT_TRUE(LogLine::Parse("camphord proxy: x reason=\"never ended"));
}

TEST(RequestTraceFromLog, LinesOfTwoHosts_AreJoinedInOrderWithCause) {
  const RequestTrace trace = RequestTrace::FromLog(Log(), "a1");
  ASSERT_EQ(trace.lines.size(), 3U);
  EXPECT_EQ(trace.lines.front().host, "h2");
  EXPECT_NE(trace.cause.find("refused before it was sent"), std::string::npos);
  EXPECT_NE(trace.cause.find("target t2"), std::string::npos);
  EXPECT_NE(trace.cause.find("configuration 16"), std::string::npos);
}

TEST(RequestTraceFromLog, Context_HoldsStateChangesOfItsTargets) {
  const RequestTrace trace = RequestTrace::FromLog(Log(), "a1");
  ASSERT_EQ(trace.context.size(), 1U);
  EXPECT_EQ(trace.context[0].Field("state"), "leaving");
}

TEST(RequestTraceFromLog, DroppedLines_AreReported) {
  const RequestTrace trace = RequestTrace::FromLog(Log(), "a1");
  ASSERT_EQ(trace.gaps.size(), 2U);
  EXPECT_NE(trace.gaps[0].find("h1 dropped 4"), std::string::npos);
  EXPECT_NE(trace.gaps[1].find("h2 dropped 3"), std::string::npos);
}

TEST(RequestTraceFromLog, UnknownRequest_ReportsMissingLines) {
  const RequestTrace trace = RequestTrace::FromLog(Log(), "zz");
  EXPECT_TRUE(trace.lines.empty());
  ASSERT_EQ(trace.gaps.size(), 1U);
}

TEST(RequestTraceToText, Trace_HasLineForEachStepAndCause) {
  const std::string text = RequestTrace::FromLog(Log(), "a1").ToText();
  EXPECT_NE(text.find("tried again"), std::string::npos);
  EXPECT_NE(text.find("cause: "), std::string::npos);
  EXPECT_NE(text.find("missing: "), std::string::npos);
}

}  // namespace
}  // namespace camphor

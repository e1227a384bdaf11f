#include "harness/history/history_reader.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(ReadHistoryLines, LinesOfProcesses_AreParsedToEvents) {
  History history;
  ReadHistoryLines(
      {"h1 camphord history: event=serving t_us=5 version=7 digest=ab",
       "t1 target_stand_in history: event=run t_us=6 target=t1 key= request=r",
       "h1 camphord history: event=rollout t_us=8 id=p/v1/v2/1 "
       "stage=rolled_back share_ppm=0 signal=failures",
       "h1 camphord history: event=other t_us=9"},
      history);
  EXPECT_EQ(history.serving, (std::vector<ServingEvent>{{.at = Microseconds(5),
                                                         .host = "h1",
                                                         .version = 7,
                                                         .digest = "ab"}}));
  EXPECT_EQ(history.runs,
            (std::vector<RunEvent>{
                {.at = Microseconds(6), .target = "t1", .request = "r"}}));
  ASSERT_EQ(history.rollouts.size(), 1U);
  EXPECT_EQ(history.rollouts[0].stage, "rolled_back");
}

}  // namespace
}  // namespace camphor

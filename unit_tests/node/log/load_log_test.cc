#include "node/log/load_log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

namespace camphor {
namespace {

class LoadLogTest : public testing::Test {
 protected:
  /// Writes the queued lines and returns them.
  const std::string& Text() {
    sink_.reset();
    return text_;
  }

  static constexpr MonoTime kNow{Seconds(100)};
  std::string text_;
  std::unique_ptr<LogSink> sink_ = std::make_unique<LogSink>(LogSink::Options{
      .write = [this](const std::string& lines) { text_ += lines; }});
  LoadLog log_{{.log = sink_.get(),
                .behind_after = Milliseconds(250),
                .budget = {.per_second = 1, .burst = 2}}};
};

using LoadLogWrite = LoadLogTest;

TEST_F(LoadLogWrite, InTime_NoLine) {
  log_.Write({.lag = Milliseconds(20),
              .callers = {.queued = 3, .longest_wait = Milliseconds(40)}},
             {.tick_age = Milliseconds(110)}, kNow);
  EXPECT_EQ(Text(), "");
}

TEST_F(LoadLogWrite, ConnectionWaited_LineNamesQueuesAndThreads) {
  log_.Write({.lag = Milliseconds(30),
              .thread_cpu = Milliseconds(700),
              .callers = {.queued = 240,
                          .accepted = 1000,
                          .abandoned = 600,
                          .longest_wait = Milliseconds(3900)}},
             {.tick_age = Milliseconds(120),
              .thread_cpu = Milliseconds(300),
              .proxy_tasks = 4,
              .limiter_wait = Microseconds(70)},
             kNow);
  const std::string& text = Text();
  for (const char* field :
       {"proxy_lag_ms=30", "proxy_cpu_ms=700", "limiter_wait_us=70",
        "tick_age_ms=120", "decisions_cpu_ms=300", "proxy_tasks=4",
        "callers_queued=240", "callers_accepted=1000", "callers_abandoned=600",
        "callers_wait_ms=3900"})
    EXPECT_NE(text.find(field), std::string::npos) << text;
}

TEST_F(LoadLogWrite, AnyThreadIsBehind_Line) {
  log_.Write({.lag = Milliseconds(300)}, {}, kNow);
  log_.Write({}, {.tick_age = Milliseconds(300)}, kNow);
  EXPECT_EQ(std::ranges::count(Text(), '\n'), 2);
}

TEST_F(LoadLogWrite, MostAcceptedWereAbandoned_Line) {
  log_.Write({.hosts = {.accepted = 100, .abandoned = 0}}, {}, kNow);
  log_.Write({.hosts = {.accepted = 110, .abandoned = 5}}, {}, kNow);
  log_.Write({.hosts = {.accepted = 120, .abandoned = 14}}, {}, kNow);
  const std::string& text = Text();
  EXPECT_EQ(std::ranges::count(text, '\n'), 1) << text;
  EXPECT_NE(text.find("hosts_abandoned=14"), std::string::npos) << text;
}

TEST_F(LoadLogWrite, QueueIsNotKnown_LineSaysSo) {
  log_.Write({.lag = Milliseconds(300)}, {}, kNow);
  EXPECT_NE(Text().find("callers_queued=unknown"), std::string::npos);
}

TEST_F(LoadLogWrite, BehindForLong_LinesAreBounded) {
  for (int times = 0; times < 50; ++times)
    log_.Write({.lag = Milliseconds(300)}, {}, kNow);
  log_.Write({.lag = Milliseconds(300)}, {}, kNow + Seconds(1));
  const std::string& text = Text();
  EXPECT_EQ(std::ranges::count(text, '\n'), 3) << text;
  EXPECT_NE(text.find("left_out=48"), std::string::npos) << text;
}

}  // namespace
}  // namespace camphor

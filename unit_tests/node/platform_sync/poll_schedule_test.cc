#include "node/platform_sync/poll_schedule.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

class PollScheduleDue : public testing::Test {
 protected:
  /// Time from `from` until a read is due, to the millisecond.
  Milliseconds TimeUntilDue(MonoTime from, PollSchedule::Role role) {
    Milliseconds wait{0};
    while (!schedule_.Due(from + wait, role)) wait += Milliseconds(1);
    return wait;
  }

  const MonoTime start_{Seconds(100)};
  PollSchedule schedule_{{.poll = Milliseconds(1000),
                          .slow_poll = Milliseconds(60000),
                          .initial_retry_delay = Milliseconds(100),
                          .max_retry_delay = Milliseconds(10000)}};
};

TEST_F(PollScheduleDue, AtStart_DueImmediatelyAndOnce) {
  EXPECT_TRUE(schedule_.Due(start_, {}));
  EXPECT_FALSE(schedule_.Due(start_ + Seconds(100), {}));
}

TEST_F(PollScheduleDue, Ready_PollerUsesPollOthersSlowPoll) {
  schedule_.Due(start_, {});
  schedule_.Finished(true, start_);
  const Milliseconds poller_wait =
      TimeUntilDue(start_, {.ready = true, .poller = true});
  EXPECT_GE(poller_wait, Milliseconds(500));
  EXPECT_LE(poller_wait, Milliseconds(1000));
  schedule_.Finished(true, start_);
  EXPECT_GE(TimeUntilDue(start_, {.ready = true}), Milliseconds(30000));
}

TEST_F(PollScheduleDue, RepeatedFailures_BackOffToMaxDelay) {
  schedule_.Due(start_, {});
  Milliseconds last{0};
  for (int failure = 0; failure < 12; ++failure) {
    schedule_.Finished(false, start_);
    last = TimeUntilDue(start_, {});
    EXPECT_GE(last, Milliseconds(50));
    EXPECT_LE(last, Milliseconds(10000));
  }
  EXPECT_GE(last, Milliseconds(5000));
  EXPECT_EQ(schedule_.failures(), 12U);
}

}  // namespace
}  // namespace camphor

#include "node/platform_sync/poll_schedule.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

class PollScheduleDue : public testing::Test {
 protected:
  /// Milliseconds from `from` until a read is due.
  Milliseconds WaitFrom(MonoTime from, PollSchedule::Role role) {
    Milliseconds wait{0};
    while (!schedule_.Due(from + wait, role)) wait += Milliseconds(1);
    return wait;
  }

  const MonoTime start_{Seconds(100)};
  PollSchedule schedule_{{.poll = Milliseconds(1000),
                          .slow_poll = Milliseconds(60000),
                          .first_retry = Milliseconds(100),
                          .last_retry = Milliseconds(10000)}};
};

TEST_F(PollScheduleDue, AtStart_AtOnceAndOnlyOnce) {
  EXPECT_TRUE(schedule_.Due(start_, {}));
  EXPECT_FALSE(schedule_.Due(start_ + Seconds(100), {}));
}

TEST_F(PollScheduleDue, Poller_ReadsOftenOthersRarely) {
  schedule_.Due(start_, {});
  schedule_.Finished(true, start_);
  const Milliseconds often = WaitFrom(start_, {.ready = true, .poller = true});
  EXPECT_GE(often, Milliseconds(500));
  EXPECT_LE(often, Milliseconds(1000));
  schedule_.Finished(true, start_);
  EXPECT_GE(WaitFrom(start_, {.ready = true}), Milliseconds(30000));
}

TEST_F(PollScheduleDue, Failures_BackOffToTheLimit) {
  schedule_.Due(start_, {});
  Milliseconds last{0};
  for (int failure = 0; failure < 12; ++failure) {
    schedule_.Finished(false, start_);
    last = WaitFrom(start_, {});
    EXPECT_GE(last, Milliseconds(50));
    EXPECT_LE(last, Milliseconds(10000));
  }
  EXPECT_GE(last, Milliseconds(5000));
  EXPECT_EQ(schedule_.failures(), 12U);
}

}  // namespace
}  // namespace camphor

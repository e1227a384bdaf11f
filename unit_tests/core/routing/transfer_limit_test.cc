#include "core/routing/transfer_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace camphor {
namespace {

constexpr std::uint64_t kBodyBytes = 60'000;
constexpr double kLinkBitsPerSecond = 10e6;

class TransferLimitTest : public ::testing::Test {
 protected:
  TransferLimit limit_{{.bits_per_second = kLinkBitsPerSecond}};
  MonoTime now_ = MonoTime{} + std::chrono::hours(1);
};

// Guards against a single request inside the limits that is refused while no
// other body is being received.
TEST_F(TransferLimitTest, NoBacklog_AcceptsABodyOfAnySize) {
  EXPECT_TRUE(limit_.TryAcquire(64 * 1024 * 1024, now_));
}

// Guards against a large body that keeps all others out while it is sent.
TEST_F(TransferLimitTest, LargeBodyAccepted_AcceptsOthersAfterASecond) {
  EXPECT_TRUE(limit_.TryAcquire(64 * 1024 * 1024, now_));
  EXPECT_FALSE(limit_.TryAcquire(kBodyBytes, now_));
  EXPECT_TRUE(limit_.TryAcquire(kBodyBytes, now_ + Seconds(1)));
}

// Guards against bandwidth that stays reserved for a refused request.
TEST_F(TransferLimitTest, BodyReleased_ItsPlaceIsFree) {
  while (limit_.TryAcquire(kBodyBytes, now_)) {
  }
  limit_.Release(kBodyBytes, now_, now_);
  EXPECT_TRUE(limit_.TryAcquire(kBodyBytes, now_));
}

// Guards against a body that has drained and is subtracted again from others.
TEST_F(TransferLimitTest, BodyReleasedLate_OthersStayCounted) {
  EXPECT_TRUE(limit_.TryAcquire(kBodyBytes, now_));
  const MonoTime accepted = now_;
  now_ += Seconds(1);
  while (limit_.TryAcquire(kBodyBytes, now_)) {
  }
  limit_.Release(kBodyBytes, accepted, now_);
  EXPECT_FALSE(limit_.TryAcquire(kBodyBytes, now_));
}

// Guards against a limit on hosts without a configured link rate.
TEST_F(TransferLimitTest, NoRateKnown_AcceptsAll) {
  TransferLimit unlimited({});
  for (int body = 0; body < 1000; ++body)
    EXPECT_TRUE(unlimited.TryAcquire(kBodyBytes, now_));
}

// Guards against small requests that wait behind bodies: whatever is offered,
// the accepted bodies are received within the backlog's bound, and a link that
// is offered enough is used.
TEST(TransferLimit, AnyOffer_BacklogIsBoundedAndTheLinkIsUsed) {
  EXPECT_TRUE(rc::check([] {
    TransferLimit limit({.bits_per_second = kLinkBitsPerSecond});
    MonoTime now = MonoTime{} + std::chrono::hours(1);
    const MonoTime start = now;
    double accepted = 0;
    double offered = 0;
    for (int body = 0; body < 2000; ++body) {
      now += Milliseconds(*rc::gen::inRange(0, 60));
      const auto bytes = *rc::gen::inRange<std::uint64_t>(1'000, 120'000);
      offered += static_cast<double>(bytes);
      if (limit.TryAcquire(bytes, now)) accepted += static_cast<double>(bytes);
      RC_ASSERT(limit.Backlog(now) <= Milliseconds(201));
    }
    const std::chrono::duration<double> elapsed = now - start;
    const double carried = kLinkBitsPerSecond / 8 * elapsed.count();
    // At most 0.85 of the link, the backlog of 200 ms, and one body.
    RC_ASSERT(accepted <=
              0.85 * (carried + 0.2 * kLinkBitsPerSecond / 8) + 120'000);
    // Bodies that do not fit the backlog leave some of it unused.
    RC_ASSERT(accepted >= std::min(0.6 * carried, 0.6 * offered));
  }));
}

}  // namespace
}  // namespace camphor

#include "core/rollout/short_rollout.h"

#include <random>

#include "unit_tests/core/rollout/rollout_fixture.h"

namespace camphor {
namespace {

/// Rollouts that must complete within 16 seconds, on a pool that receives 500
/// requests per second.
class ShortRolloutTest : public RolloutFixture {
 protected:
  static constexpr Milliseconds kAllowed{16'000};
  static constexpr double kMaxExposure =
      0.1;  // fraction of the pool's requests
  static constexpr double kExposureSlack = 50;  // additional requests

  void SetUp() override {
    rollout_spec_.allowed = kAllowed;
    tick_ = Milliseconds(100);
    requests_per_tick_ = 5;
    RolloutFixture::SetUp();
  }

  /// Runs until the allowed time is over.
  void RunToDeadline(const Fails& fails) {
    Run(static_cast<int>(kAllowed.count() / 1000), fails);
  }

  std::uint32_t Share() const { return RecordOf("h0").share_ppm; }

  /// Half of the new version's requests fail while `when` returns true.
  Fails HalfFailWhen(std::function<bool()> when) {
    return [this, when = std::move(when)](bool is_new, const std::string&) {
      return is_new && when() && random_() % 2 == 0;
    };
  }

  void ExpectWithinExposure() const {
    const auto all = static_cast<double>(new_requests_ + old_requests_);
    EXPECT_LE(static_cast<double>(new_requests_),
              kMaxExposure * all + kExposureSlack);
  }

  std::mt19937 random_{7};
};

TEST_F(ShortRolloutTest, GoodVersion_GetsAllTrafficBeforeDeadline) {
  Run(13, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
  EXPECT_EQ(Share(), 1'000'000U);
}

TEST_F(ShortRolloutTest, FailsFromStart_HasLimitedExposure) {
  RunToDeadline(HalfFailWhen([] { return true; }));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

TEST_F(ShortRolloutTest, FailsLater_HasLimitedExposure) {
  const MonoTime from = now_ + Seconds(7);
  RunToDeadline(HalfFailWhen([this, from] { return now_ >= from; }));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

TEST_F(ShortRolloutTest, FailsUnderLoad_HasLimitedExposure) {
  RunToDeadline(HalfFailWhen([this] { return Share() >= 500'000; }));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

TEST_F(ShortRolloutTest, SharedDependencyFailsFirst_BadVersionIsRolledBack) {
  const MonoTime until = now_ + Seconds(7);
  RunToDeadline([this, until](bool is_new, const std::string&) {
    const bool dependency_fails = now_ < until && random_() % 100 < 55;
    return dependency_fails || (is_new && random_() % 100 < 40);
  });
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

/// A fault of both versions ends the given number of seconds after the order.
class ShortRolloutSharedFault : public ShortRolloutTest,
                                public testing::WithParamInterface<int> {};

TEST_P(ShortRolloutSharedFault, BadVersion_IsRolledBack) {
  const MonoTime until = now_ + Seconds(GetParam());
  RunToDeadline([this, until](bool is_new, const std::string&) {
    const bool dependency_fails = now_ < until && random_() % 100 < 55;
    return dependency_fails || (is_new && random_() % 100 < 37);
  });
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

INSTANTIATE_TEST_SUITE_P(FaultEndsAtSecond, ShortRolloutSharedFault,
                         testing::Values(5, 6, 7, 8, 9, 10, 12, 16));

TEST_F(ShortRolloutTest,
       SharedDependencyFailsTemporarily_GoodVersionCompletes) {
  const MonoTime from = now_ + Seconds(4);
  const MonoTime until = now_ + Seconds(8);
  Run(13, [this, from, until](bool, const std::string&) {
    return now_ >= from && now_ < until && random_() % 100 < 55;
  });
  EXPECT_EQ(Stage(), RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, OneBadTarget_IsNotRolledBack) {
  Run(13, [this](bool is_new, const std::string& host) {
    return is_new && host == "h1" && random_() % 2 == 0;
  });
  EXPECT_EQ(Stage(), RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, OwnerDiesDuringCanary_NewOwnerCompletesInTime) {
  Run(6, NeverFails);
  ASSERT_EQ(Stage(), RolloutStage::kCanary);
  const std::string owner = Owner();
  StartHost(owner);
  Kill(owner);
  Run(8, NeverFails);
  const std::string other = owner == "h0" ? "h1" : "h0";
  EXPECT_EQ(RecordOf(other).stage, RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, ClockStepsBackInRamp_BadVersionHasLimitedExposure) {
  SetClockError(Seconds(5));
  RunTicks(100, NeverFails);
  ASSERT_EQ(Stage(), RolloutStage::kRamp);
  SetClockError(Seconds(0));
  RunTicks(60, HalfFailWhen([this] { return Share() >= 500'000; }));
  ExpectWithinExposure();
}

TEST_F(ShortRolloutTest, ClockStepsAheadInCanary_CanaryKeepsItsDuration) {
  Run(3, NeverFails);
  ASSERT_EQ(Stage(), RolloutStage::kCanary);
  SetClockError(Seconds(10));
  Run(4, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kCanary);
}

TEST_F(ShortRolloutTest, ClockStepsBackInCanary_GoodVersionCompletesInTime) {
  Run(3, NeverFails);
  SetClockError(Seconds(-10));
  Run(10, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, ClocksOfHostsDiffer_NextOwnerKeepsTheDeadline) {
  hosts_.at(Owner()).clock_error = Seconds(-20);
  Run(3, NeverFails);
  ASSERT_EQ(Stage(), RolloutStage::kCanary);
  const std::string owner = Owner();
  Kill(owner);
  const std::string other = owner == "h0" ? "h1" : "h0";
  Run(3, NeverFails);
  EXPECT_EQ(RecordOf(other).stage, RolloutStage::kCanary);
  Run(7, NeverFails);
  EXPECT_EQ(RecordOf(other).stage, RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, RecordedStart_StartsImmediatelyAndFixesDeadline) {
  Run(1, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kPending);
  const WallTime ordered = wall_ - Seconds(4);
  Broadcast("h0", {.id = id_, .ordered_at = ordered});
  Run(1, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kCanary);
  Run(9, NeverFails);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
  EXPECT_EQ(RecordOf("h0").ordered_at, ordered);
}

}  // namespace
}  // namespace camphor

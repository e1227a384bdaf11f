#include "core/rollout/short_rollout.h"

#include <random>

#include "unit_tests/core/rollout/rollout_fixture.h"

namespace camphor {
namespace {

/// Rollouts that have sixteen seconds, on a pool of some hundred requests a
/// second.
class ShortRolloutTest : public RolloutFixture {
 protected:
  static constexpr Milliseconds kAllowed{16'000};
  static constexpr double kMostExposed = 0.1;  // of the pool's requests
  static constexpr double kSpared = 50;        // requests besides

  void SetUp() override {
    order_.allowed = kAllowed;
    tick_ = Milliseconds(100);
    requests_ = 5;
    RolloutFixture::SetUp();
  }

  /// Runs until the time allowed is over.
  void RunToTheEnd(const Fails& fails) {
    Run(static_cast<int>(kAllowed.count() / 1000), fails);
  }

  std::uint32_t Share() const { return RecordOf("h0").share_ppm; }

  /// Half of the new version's requests fail once `when` holds.
  Fails HalfFail(std::function<bool()> when) {
    return [this, when = std::move(when)](bool is_new, const std::string&) {
      return is_new && when() && random_() % 2 == 0;
    };
  }

  void ExpectWithinExposure() const {
    const auto all = static_cast<double>(new_requests_ + old_requests_);
    EXPECT_LE(static_cast<double>(new_requests_), kMostExposed * all + kSpared);
  }

  std::mt19937 random_{7};
};

TEST_F(ShortRolloutTest, GoodVersion_HasAllTrafficWellBeforeTheEnd) {
  Run(13, Good);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
  EXPECT_EQ(Share(), 1'000'000U);
}

TEST_F(ShortRolloutTest, VersionThatFailsFromTheStart_GetsLittle) {
  RunToTheEnd(HalfFail([] { return true; }));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

TEST_F(ShortRolloutTest, VersionThatFailsLater_GetsLittle) {
  const MonoTime from = now_ + Seconds(7);
  RunToTheEnd(HalfFail([this, from] { return now_ >= from; }));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

TEST_F(ShortRolloutTest, VersionThatFailsUnderLoad_GetsLittle) {
  RunToTheEnd(HalfFail([this] { return Share() >= 500'000; }));
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

TEST_F(ShortRolloutTest, DependencyOfBothFailsFirst_BadVersionIsStillFound) {
  const MonoTime until = now_ + Seconds(7);
  RunToTheEnd([this, until](bool is_new, const std::string&) {
    const bool dependency_fails = now_ < until && random_() % 100 < 55;
    return dependency_fails || (is_new && random_() % 100 < 40);
  });
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

/// A fault of both versions that ends so many seconds after the order.
class ShortRolloutSharedFault : public ShortRolloutTest,
                                public testing::WithParamInterface<int> {};

TEST_P(ShortRolloutSharedFault, BadVersion_IsRolledBack) {
  const MonoTime until = now_ + Seconds(GetParam());
  RunToTheEnd([this, until](bool is_new, const std::string&) {
    const bool dependency_fails = now_ < until && random_() % 100 < 55;
    return dependency_fails || (is_new && random_() % 100 < 37);
  });
  EXPECT_EQ(Stage(), RolloutStage::kRolledBack);
  ExpectWithinExposure();
}

INSTANTIATE_TEST_SUITE_P(EndsAtAnyMoment, ShortRolloutSharedFault,
                         testing::Values(5, 6, 7, 8, 9, 10, 12, 16));

TEST_F(ShortRolloutTest, DependencyOfBothFailsForAWhile_GoodVersionIsDone) {
  const MonoTime from = now_ + Seconds(4);
  const MonoTime until = now_ + Seconds(8);
  Run(13, [this, from, until](bool, const std::string&) {
    return now_ >= from && now_ < until && random_() % 100 < 55;
  });
  EXPECT_EQ(Stage(), RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, OneBadTarget_DoesNotCondemnTheVersion) {
  Run(13, [this](bool is_new, const std::string& host) {
    return is_new && host == "h1" && random_() % 2 == 0;
  });
  EXPECT_EQ(Stage(), RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, OwnerDiesInTheCanary_AnotherOneEndsItInTime) {
  Run(6, Good);
  ASSERT_EQ(Stage(), RolloutStage::kCanary);
  const std::string owner = Owner();
  Start(owner);
  hosts_.at(owner).paused = true;
  std::map<HostId, HostRecord> records = Records();
  records.at(HostId(owner)).status = HostStatus::kDead;
  for (auto& [name, host] : hosts_) {
    if (name != owner) host.manager->SetHosts(records);
  }
  Run(8, Good);
  const std::string other = owner == "h0" ? "h1" : "h0";
  EXPECT_EQ(RecordOf(other).stage, RolloutStage::kDone);
}

TEST_F(ShortRolloutTest, BeginningOnRecord_StartsAtOnceAndFixesItsTime) {
  Run(1, Good);
  EXPECT_EQ(Stage(), RolloutStage::kPending);
  const WallTime ordered = wall_ - Seconds(4);
  Spread("h0", {.id = id_, .ordered_at = ordered});
  Run(1, Good);
  EXPECT_EQ(Stage(), RolloutStage::kCanary);
  Run(9, Good);
  EXPECT_EQ(Stage(), RolloutStage::kDone);
  EXPECT_EQ(RecordOf("h0").ordered_at, ordered);
}

}  // namespace
}  // namespace camphor

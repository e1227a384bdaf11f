#include "core/routing/death_tracker.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

using Fingerprints = std::vector<std::uint64_t>;

class DeathTrackerTest : public testing::Test {
 protected:
  void Answer(std::uint64_t fingerprint) {
    tracker_.OnStart(target_, fingerprint, false);
    tracker_.OnEnd(target_, fingerprint, true);
  }

  const TargetId target_{"t"};
  DeathTracker tracker_;
};

using DeathTrackerOnDeath = DeathTrackerTest;

TEST_F(DeathTrackerOnDeath, RequestRanAlone_IsBlamed) {
  tracker_.OnStart(TargetId("a"), 7, false);
  EXPECT_EQ(tracker_.OnDeath(TargetId("a")), std::vector<std::uint64_t>{7});
}

TEST_F(DeathTrackerOnDeath, RecentlyAnsweredAmongOthers_IsNotBlamed) {
  tracker_.OnStart(TargetId("b"), 1, false);
  tracker_.OnEnd(TargetId("b"), 1, true);
  tracker_.OnStart(TargetId("a"), 1, false);
  tracker_.OnStart(TargetId("a"), 7, false);
  EXPECT_EQ(tracker_.OnDeath(TargetId("a")), std::vector<std::uint64_t>{7});
}

TEST_F(DeathTrackerOnDeath, SuspectAmongOthers_OnlySuspectIsBlamed) {
  tracker_.OnStart(TargetId("a"), 1, false);
  tracker_.OnStart(TargetId("a"), 7, true);
  EXPECT_FALSE(tracker_.MayStartSuspect(TargetId("a"), 8));
  EXPECT_TRUE(tracker_.MayStartSuspect(TargetId("b"), 8));
  EXPECT_EQ(tracker_.OnDeath(TargetId("a")), std::vector<std::uint64_t>{7});
  EXPECT_TRUE(tracker_.OnDeath(TargetId("a")).empty());
}

TEST_F(DeathTrackerOnDeath, RanTwiceAlone_IsBlamedOnce) {
  tracker_.OnStart(target_, 1, false);
  tracker_.OnStart(target_, 1, false);
  EXPECT_EQ(tracker_.OnDeath(target_), Fingerprints{1});
  EXPECT_TRUE(tracker_.OnDeath(target_).empty());
}

// Guards against blocking a frequent request for deaths of other causes.
TEST_F(DeathTrackerOnDeath, AnsweredBefore_FirstDeathIsForgiven) {
  Answer(1);
  tracker_.OnStart(target_, 1, false);
  EXPECT_TRUE(tracker_.OnDeath(target_).empty());
  Answer(1);
  tracker_.OnStart(target_, 1, true);
  EXPECT_TRUE(tracker_.OnDeath(target_).empty());
}

TEST_F(DeathTrackerOnDeath, FatalSinceItsLastAnswer_IsBlamedFromSecondDeath) {
  Answer(1);
  tracker_.OnStart(target_, 1, false);
  EXPECT_TRUE(tracker_.OnDeath(target_).empty());
  tracker_.OnStart(target_, 1, false);
  EXPECT_EQ(tracker_.OnDeath(target_), Fingerprints{1});
}

// A suspect that is answered does not shield the request that kills.
TEST_F(DeathTrackerOnDeath, AnsweredSuspectBesideUnknown_UnknownIsBlamed) {
  Answer(1);
  tracker_.OnStart(target_, 1, true);
  tracker_.OnStart(target_, 2, false);
  EXPECT_EQ(tracker_.OnDeath(target_), Fingerprints{2});
}

}  // namespace
}  // namespace camphor

#include "core/membership/failure_detector.h"

#include <gtest/gtest.h>

#include <vector>

namespace camphor {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const HostId kSelf("self");
const HostId kOther("other");
const HostId kLost("lost");

// Watches one host together with one other watcher.
class FailureDetectorTest : public testing::Test {
 protected:
  FailureDetectorTest() {
    detector_.Watch({{kLost, {.incarnation = 1, .sequence = 5}}}, now_);
  }

  void Pass(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += 100ms) {
      now_ += 100ms;
      detector_.Tick(now_);
    }
  }
  void Report(bool reached) {
    detector_.OnReport(
        kOther,
        {.host = kLost, .incarnation = 1, .sequence = 5, .reached = reached},
        now_);
  }

  ReplicatorSettings settings_;
  MonoTime now_{1h};
  std::vector<SuspicionReport> reports_;
  int probes_ = 0;
  int confirmed_ = 0;
  FailureDetector detector_{
      {.self = kSelf,
       .watchers_of =
           [](const HostId&) {
             return std::set<HostId>{kSelf, kOther};
           },
       .report =
           [this](const HostId&, const SuspicionReport& report) {
             reports_.push_back(report);
           },
       .probe = [this](const HostId&) { ++probes_; },
       .confirmed = [this](const HostId&, std::uint64_t,
                           std::uint64_t) { ++confirmed_; }},
      settings_};
};

TEST_F(FailureDetectorTest, SilenceSeenByOneWatcher_IsAskedAboutNotBelieved) {
  Pass(60s);
  EXPECT_FALSE(reports_.empty());
  EXPECT_EQ(detector_.raised(), 1U);
  EXPECT_EQ(confirmed_, 0);
}

TEST_F(FailureDetectorTest, SecondWatcherLostItToo_IsConfirmed) {
  Pass(7s);
  Report(false);
  EXPECT_EQ(confirmed_, 1);
}

TEST_F(FailureDetectorTest, SecondWatcherReachedIt_SuspicionEnds) {
  Pass(7s);
  Report(true);
  reports_.clear();
  Pass(4s);
  EXPECT_TRUE(reports_.empty());
  EXPECT_EQ(detector_.withdrawn(), 1U);
  EXPECT_EQ(confirmed_, 0);
}

TEST_F(FailureDetectorTest, AskedAboutHostThatAnswers_SaysReached) {
  Report(false);
  EXPECT_EQ(probes_, 1);
  Pass(200ms);
  detector_.Heard(kLost, now_);
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_TRUE(reports_[0].reached);
}

TEST_F(FailureDetectorTest, AskedAboutHostThatIsSilent_ConfirmsAfterProbe) {
  Report(false);
  Pass(2s);
  EXPECT_EQ(confirmed_, 1);
  ASSERT_FALSE(reports_.empty());
  EXPECT_FALSE(reports_[0].reached);
}

TEST_F(FailureDetectorTest, RefusedConnection_IsSuspectedSooner) {
  detector_.LinkLost(kLost, now_);
  Pass(1200ms);
  EXPECT_EQ(detector_.raised(), 1U);
}

TEST_F(FailureDetectorTest, ReportOfEarlierIncarnation_ConfirmsNothing) {
  Pass(7s);
  detector_.OnReport(kOther, {.host = kLost, .incarnation = 0}, now_);
  Pass(2s);
  EXPECT_EQ(confirmed_, 0);
}

}  // namespace
}  // namespace camphor

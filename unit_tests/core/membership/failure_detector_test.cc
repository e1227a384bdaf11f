#include "core/membership/failure_detector.h"

#include <gtest/gtest.h>

#include <vector>

namespace camphor {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const HostId kSelf("self");
const HostId kOther("other");
const HostId kLost("lost");

// Detector with one watched host that has one other watcher.
class FailureDetectorTest : public testing::Test {
 protected:
  FailureDetectorTest() {
    detector_.SetWatchedHosts({{kLost, {.incarnation = 1, .sequence = 5}}},
                              now_);
  }

  void Advance(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += 100ms) {
      now_ += 100ms;
      detector_.Tick(now_);
    }
  }
  void ReceiveReport(bool reached) {
    detector_.OnSuspicionReport(
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
       .get_watchers =
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

TEST_F(FailureDetectorTest, SilenceSeenByOneWatcher_IsReportedNotConfirmed) {
  Advance(60s);
  EXPECT_FALSE(reports_.empty());
  EXPECT_EQ(detector_.raised(), 1U);
  EXPECT_EQ(confirmed_, 0);
}

TEST_F(FailureDetectorTest, SecondWatcherReportsLoss_ConfirmsSuspicion) {
  Advance(7s);
  ReceiveReport(false);
  EXPECT_EQ(confirmed_, 1);
}

TEST_F(FailureDetectorTest, SecondWatcherReportsReached_WithdrawsSuspicion) {
  Advance(7s);
  ReceiveReport(true);
  reports_.clear();
  Advance(4s);
  EXPECT_TRUE(reports_.empty());
  EXPECT_EQ(detector_.withdrawn(), 1U);
  EXPECT_EQ(confirmed_, 0);
}

TEST_F(FailureDetectorTest, ReportOfHostThatAnswersProbe_RepliesReached) {
  ReceiveReport(false);
  EXPECT_EQ(probes_, 1);
  Advance(200ms);
  detector_.OnMessageReceived(kLost, now_);
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_TRUE(reports_[0].reached);
}

TEST_F(FailureDetectorTest, ReportOfSilentHost_ConfirmsAfterProbe) {
  ReceiveReport(false);
  Advance(2s);
  EXPECT_EQ(confirmed_, 1);
  ASSERT_FALSE(reports_.empty());
  EXPECT_FALSE(reports_[0].reached);
}

TEST_F(FailureDetectorTest, FailedConnection_RaisesSuspicionSooner) {
  detector_.OnConnectionFailed(kLost, now_);
  Advance(1200ms);
  EXPECT_EQ(detector_.raised(), 1U);
}

TEST_F(FailureDetectorTest, ReportOfEarlierIncarnation_ConfirmsNothing) {
  Advance(7s);
  detector_.OnSuspicionReport(kOther, {.host = kLost, .incarnation = 0}, now_);
  Advance(2s);
  EXPECT_EQ(confirmed_, 0);
}

}  // namespace
}  // namespace camphor

#include "node/decisions/availability_monitor.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace camphor {
namespace {

class AvailabilityMonitorTest : public testing::Test {
 protected:
  AvailabilityMonitorTest() {
    hosts_[HostId("h1")] = {
        .host = HostId("h1"),
        .domain = FailureDomain("a"),
        .targets = {{.id = TargetId("t1"), .pool = PoolName("p")}}};
    snapshot_.pools = {{.name = PoolName("p")}};
  }

  void Update(Milliseconds later) {
    now_ += later;
    monitor_.Update(std::make_shared<const ConfigSnapshot>(snapshot_), hosts_,
                    now_);
  }

  /// Returns what was logged; ends the log.
  std::string Log() {
    log_.reset();
    return text_;
  }

  boost::json::object View() const {
    boost::json::object view;
    monitor_.AddTo(view, now_);
    return view;
  }

  std::string text_;
  std::optional<LogSink> log_{
      std::in_place, LogSink::Options{.write = [this](const std::string& line) {
        text_ += line + "\n";
      }}};
  MonoTime now_{Seconds(100)};
  ConfigSnapshot snapshot_;
  std::map<HostId, HostRecord> hosts_;
  AvailabilityMonitor monitor_{{.log = &*log_}};
};

TEST_F(AvailabilityMonitorTest, NothingEvacuatedOrCold_ShowsNothing) {
  hosts_[HostId("h1")].targets[0].status = TargetStatus::kWarming;
  Update(Seconds(1));
  Update(Seconds(10));
  EXPECT_TRUE(View().empty());
  EXPECT_EQ(monitor_.Metrics(now_), "");
  EXPECT_EQ(Log(), "");
}

TEST_F(AvailabilityMonitorTest, Evacuation_IsShownWithItsDurationUntilItEnds) {
  snapshot_.evacuated_domains = {FailureDomain("a")};
  Update(Seconds(1));
  Update(Seconds(3));
  const boost::json::value shown = View()["evacuated_domains"];
  EXPECT_EQ(boost::json::serialize(shown),
            R"([{"failure_domain":"a","evacuated_ms":3000,"hosts":1}])");
  EXPECT_NE(monitor_.Metrics(now_).find("camphor_evacuated_seconds"),
            std::string::npos);
  snapshot_.evacuated_domains.clear();
  Update(Seconds(1));
  EXPECT_TRUE(View().empty());
  const std::string log = Log();
  EXPECT_NE(log.find("evacuation of a failure domain began"),
            std::string::npos);
  EXPECT_NE(log.find("evacuation of a failure domain ended"),
            std::string::npos);
  EXPECT_EQ(log.find("no known host"), std::string::npos);
}

// A misspelt domain leaves the one that was meant in service.
TEST_F(AvailabilityMonitorTest, UnknownDomain_IsWarnedOfOnce) {
  snapshot_.evacuated_domains = {FailureDomain("aa")};
  Update(Seconds(1));
  for (int update = 0; update < 10; ++update) Update(Seconds(1));
  const std::string log = Log();
  const std::size_t first = log.find("contains no known host");
  ASSERT_NE(first, std::string::npos);
  EXPECT_EQ(log.find("contains no known host", first + 1), std::string::npos);
  EXPECT_NE(log.find("known_failure_domains=a"), std::string::npos);
}

// A host that has just started learns of the others a little later.
TEST_F(AvailabilityMonitorTest, HostOfDomainFoundLater_IsNotWarnedOf) {
  snapshot_.evacuated_domains = {FailureDomain("b")};
  Update(Seconds(1));
  hosts_[HostId("h2")] = {.host = HostId("h2"), .domain = FailureDomain("b")};
  Update(Seconds(3));
  EXPECT_EQ(Log().find("contains no known host"), std::string::npos);
}

TEST_F(AvailabilityMonitorTest, ColdTargetOfLimitedPool_IsShownWhileCold) {
  snapshot_.pools[0].cold_requests_per_second = 15;
  hosts_[HostId("h1")].targets[0].status = TargetStatus::kWarming;
  Update(Seconds(1));
  Update(Seconds(2));
  EXPECT_EQ(boost::json::serialize(View()["cold_targets"]),
            R"([{"target":"t1","cold_ms":2000}])");
  EXPECT_NE(monitor_.Metrics(now_).find("camphor_cold_targets 1"),
            std::string::npos);
  hosts_[HostId("h1")].targets[0].status = TargetStatus::kReady;
  Update(Seconds(1));
  EXPECT_TRUE(View().empty());
}

}  // namespace
}  // namespace camphor

#ifndef CAMPHORHILL_SCENARIO_TESTS_UNTRUSTED_CALLERS_CROWD_TEST_H_
#define CAMPHORHILL_SCENARIO_TESTS_UNTRUSTED_CALLERS_CROWD_TEST_H_

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "harness/fleet.h"
#include "harness/process_usage.h"
#include "harness/slow_crowd.h"
#include "stand_ins/http/http_connection.h"

namespace camphor {

/// Hosts of which a crowd attacks the first one, h1, and its usage before the
/// crowd came.
class CrowdTest : public testing::Test {
 protected:
  /// `max_wait` only ends tests that hang.
  explicit CrowdTest(Milliseconds max_wait) : max_wait_(max_wait) {}

  /// Starts the hosts and target t1 of pool p1 at h1.
  void StartFleet(Fleet::Options options) {
    fleet_ = std::make_unique<Fleet>(std::move(options));
    ASSERT_TRUE(fleet_->StartPlatform() && fleet_->StartHosts())
        << fleet_->last_reason();
    ASSERT_TRUE(fleet_->StartTarget({.host = "h1", .pool = "p1"}))
        << fleet_->last_reason();
  }

  /// Waits until callers at `caller_host` are served, then reads the usage. The
  /// tables must have been applied.
  void AwaitServed(const std::string& caller_host) {
    caller_host_ = caller_host;
    ASSERT_TRUE(fleet_->AwaitTarget("t1", true, max_wait_))
        << fleet_->last_reason();
    ASSERT_TRUE(IsOrdinaryRequestAnswered());
    before_ = Usage();
    ASSERT_TRUE(before_.has_value());
  }

  std::optional<ProcessUsage> Usage() {
    return ProcessUsage::Read(fleet_->process("h1")->pid());
  }

  bool IsOrdinaryRequestAnswered() {
    return WaitUntil(max_wait_, [this] {
      const auto response =
          HttpConnection(fleet_->caller(caller_host_))
              .Call({.method = "POST",
                     .target = "/served/2",
                     .fields = {{"host", "h"}, {"x-request-id", "r1"}},
                     .body = "ordinary"});
      return response.has_value() && response->status == 200;
    });
  }

  bool IsReadinessAnswered() {
    return WaitUntil(max_wait_, [this] {
      const auto response = HttpConnection(fleet_->admin("h1"))
                                .Call({.method = "GET",
                                       .target = "/readyz",
                                       .fields = {{"host", "h"}}});
      return response.has_value() && response->status == 200;
    });
  }

  /// Checks that the descriptors of the crowd, and `own` others, are the only
  /// ones that were opened, and that all of the crowd's get closed.
  void ExpectCrowdGetsClosed(SlowCrowd& crowd, unsigned connections,
                             std::size_t own) {
    const auto during = Usage();
    ASSERT_TRUE(during.has_value());
    EXPECT_LE(during->descriptors, before_->descriptors + connections + own);
    EXPECT_TRUE(WaitUntil(max_wait_,
                          [this, own] {
                            const auto usage = Usage();
                            return usage.has_value() &&
                                   usage->descriptors <=
                                       before_->descriptors + own;
                          }))
        << "still open: "
        << Usage().value_or(ProcessUsage{}).descriptors - before_->descriptors;
    EXPECT_EQ(crowd.opened(), connections);
  }

  void ExpectMemoryWithin(std::uint64_t growth) {
    const auto after = Usage();
    ASSERT_TRUE(fleet_->process("h1")->running() && after.has_value());
    RecordProperty("grown_bytes",
                   std::to_string(after->peak_bytes - before_->peak_bytes));
    EXPECT_LE(after->peak_bytes, before_->peak_bytes + growth);
  }

  const Milliseconds max_wait_;
  std::unique_ptr<Fleet> fleet_;
  std::optional<ProcessUsage> before_;

 private:
  std::string caller_host_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_SCENARIO_TESTS_UNTRUSTED_CALLERS_CROWD_TEST_H_

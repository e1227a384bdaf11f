#include <gtest/gtest.h>

#include <string>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

// Request bodies from other hosts when the link of the target's host is slow.
class ProxyLinkLimit : public TwoHosts {
 protected:
  void SetUp() override {
    TwoHosts::SetUp();
    AddTarget("h2", "t1", [](const HttpExchange& exchange) {
      exchange.Respond({.status = 200, .body = "body"});
    });
    StartHosts({.link_bits_per_second = 100e3});
  }

  int Upload() {
    const auto response = Call(
        {.method = "POST", .target = "/x", .body = std::string(200'000, 'a')});
    if (!response) return 0;
    if (response->status == 503)
      reason_ = response->fields.at("x-camphor-reason");
    return response->status;
  }

  std::string reason_;
};

// Guards against a body inside the limits that is refused while no other body
// is being received.
TEST_F(ProxyLinkLimit, OneLargeBody_IsServed) { EXPECT_EQ(Upload(), 200); }

// Guards against large bodies that are accepted faster than the link carries
// them, so that small requests wait behind them.
TEST_F(ProxyLinkLimit, ManyLargeBodies_SomeAreRefusedAndSmallOnesServed) {
  // A pause of the machine of a second between two calls would let all pass.
  int status = 200;
  for (int upload = 0; upload < 20 && status == 200; ++upload)
    status = Upload();
  EXPECT_EQ(status, 503);
  EXPECT_EQ(reason_, "link_full");
  const auto small = Call({.method = "POST", .target = "/x", .body = "small"});
  ASSERT_TRUE(small);
  EXPECT_EQ(small->status, 200);
}

}  // namespace
}  // namespace camphor

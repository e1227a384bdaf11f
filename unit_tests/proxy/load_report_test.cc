#include <boost/json.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "unit_tests/proxy/two_hosts.h"

namespace camphor {
namespace {

// Reports of the load and the speed of targets between two hosts.
class ProxyLoadReport : public TwoHosts {
 protected:
  static constexpr Milliseconds kService{30};

  // Starts a target on h2 and sends it some requests through h1.
  void CallSlowTarget(int status) {
    AddTarget("h2", "t1", [status](const HttpExchange& exchange) {
      std::this_thread::sleep_for(kService);
      exchange.Respond({.status = status,
                        .fields = {{"X-Camphor-Load", "0 0 1 1"}},
                        .body = "body"});
    });
    StartHosts({.load_reports = true});
    for (int call = 0; call < 3; ++call) {
      const auto response = Call({.method = "POST", .target = "/x"});
      ASSERT_TRUE(response);
      EXPECT_EQ(response->status, status);
      EXPECT_FALSE(response->fields.contains("x-camphor-load"));
    }
  }

  // Returns the service time of the target as known by h1; 0 if unknown.
  Microseconds KnownService() {
    const boost::json::value dump =
        boost::json::parse(proxies_["h1"]->DumpJson());
    return Microseconds(static_cast<std::int64_t>(
        dump.at("balancing").at("t1").at("reported_service_us").as_double()));
  }
};

// Guards against hosts that place requests without knowing the speed of targets
// on other hosts, and against a target that states its own speed.
TEST_F(ProxyLoadReport, RouteHasObjective_CallersHostLearnsMeasuredSpeed) {
  for (RouteRule& route : routes_) route.target_latency = Milliseconds(5000);
  CallSlowTarget(200);
  EXPECT_GE(KnownService(), kService);
}

// Guards against bytes between hosts that no decision needs.
TEST_F(ProxyLoadReport, RouteHasNoObjective_NothingIsReported) {
  CallSlowTarget(200);
  EXPECT_EQ(KnownService(), Microseconds(0));
}

// Guards against errors that count as a measured speed.
TEST_F(ProxyLoadReport, TargetOnlyFails_NoSpeedIsReported) {
  for (RouteRule& route : routes_) route.target_latency = Milliseconds(5000);
  CallSlowTarget(500);
  EXPECT_EQ(KnownService(), Microseconds(0));
}

}  // namespace
}  // namespace camphor

#include "core/base/endpoint.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

TEST(EndpointParse, AddressWithPort_RoundTrips) {
  const std::optional<Endpoint> endpoint = Endpoint::Parse("10.0.0.1:7001");
  ASSERT_TRUE(endpoint.has_value());
  EXPECT_EQ(endpoint->ToString(), "10.0.0.1:7001");
}

TEST(EndpointParse, HostNameOrBadPort_IsRejected) {
  for (const char* const text :
       {"localhost:1", "10.0.0.1", "10.0.0:1", "10.0.0.1:70000", ":1",
        "10.0.0.1:", "10.0.0.1:1x"}) {
    EXPECT_FALSE(Endpoint::Parse(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace camphor

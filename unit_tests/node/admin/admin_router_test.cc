#include "node/admin/admin_router.h"

#include <gtest/gtest.h>

namespace camphor {
namespace {

class AdminRouterRoute : public testing::Test {
 protected:
  AdminRouterRoute() {
    const auto record = [this](const AdminRouter::Call& call,
                               const AdminRespond& respond) {
      captures_ = call.captures;
      ++calls_;
      respond({.status = 200});
    };
    router_.Add("GET", "/v1/config", AdminAccess::kAnyone, record);
    router_.Add("PUT", "/v1/config", AdminAccess::kOperator, record);
    router_.Add("POST", "/v1/targets/{}/renew", AdminAccess::kLoopback, record);
    router_.Add("POST", "/v1/rollouts/{*}/abort", AdminAccess::kAnyone, record);
  }

  AdminResponse Send(const AdminRequest& request) {
    AdminResponse response;
    router_.Route(request,
                  [&](const AdminResponse& given) { response = given; });
    return response;
  }

  AdminRouter router_{"token"};
  std::vector<std::string> captures_;
  int calls_ = 0;
};

TEST_F(AdminRouterRoute, UnknownPath_NotFound) {
  EXPECT_EQ(Send({.method = "GET", .path = "/v1/nothing"}).status, 404U);
}

TEST_F(AdminRouterRoute, WrongMethod_ListsAllowedMethods) {
  const AdminResponse response =
      Send({.method = "DELETE", .path = "/v1/config"});
  EXPECT_EQ(response.status, 405U);
  EXPECT_EQ(response.allow, "GET, PUT");
}

TEST_F(AdminRouterRoute, EditWithWrongToken_UnauthorizedAndNotRun) {
  for (const char* const authorization :
       {"", "token", "Bearer ", "Bearer tokem", "Bearer token2"}) {
    EXPECT_EQ(Send({.method = "PUT",
                    .path = "/v1/config",
                    .authorization = authorization})
                  .status,
              401U)
        << authorization;
  }
  EXPECT_EQ(calls_, 0);
  EXPECT_EQ(Send({.method = "PUT",
                  .path = "/v1/config",
                  .authorization = "Bearer token"})
                .status,
            200U);
}

TEST_F(AdminRouterRoute, RemotePeerOnLoopbackResource_Forbidden) {
  AdminRequest request{.method = "POST", .path = "/v1/targets/t1/renew"};
  EXPECT_EQ(Send(request).status, 403U);
  request.from_loopback = true;
  EXPECT_EQ(Send(request).status, 200U);
  EXPECT_EQ(captures_, std::vector<std::string>{"t1"});
}

TEST_F(AdminRouterRoute, IdWithSlashes_CapturedAsOne) {
  Send({.method = "POST", .path = "/v1/rollouts/billing/v1/v2/1/abort"});
  EXPECT_EQ(captures_, std::vector<std::string>{"billing/v1/v2/1"});
}

TEST_F(AdminRouterRoute, EmptyWildcard_NotFound) {
  EXPECT_EQ(Send({.method = "POST", .path = "/v1/rollouts/abort"}).status,
            404U);
}

}  // namespace
}  // namespace camphor

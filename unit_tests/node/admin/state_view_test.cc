#include "node/admin/state_view.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <memory>
#include <string>

#include "core/quota/quota_message.h"

namespace camphor {
namespace {

class StateViewTeams : public testing::Test {
 protected:
  static ConfigSnapshotPtr OneTeam() {
    ConfigSnapshot snapshot;
    snapshot.teams = TeamTable({{.name = TeamName("billing"),
                                 .key_digests = {Digest::Of("secret")},
                                 .priority = 2,
                                 .requests_per_second = 100,
                                 .burst = 50}});
    return std::make_shared<ConfigSnapshot>(std::move(snapshot));
  }
};

// Guards against keys, or digests that could be compared with one, in what
// everybody may read.
TEST_F(StateViewTeams, NoUse_ShowsQuotaAndStartOfDigestOnly) {
  const std::string view =
      boost::json::serialize(TeamsView(OneTeam(), boost::json::object()));
  EXPECT_NE(view.find(R"("requests_per_second":1E2)"), std::string::npos)
      << view;
  EXPECT_EQ(view.find("secret"), std::string::npos);
  EXPECT_EQ(view.find(Digest::Of("secret").hex()), std::string::npos);
  EXPECT_NE(view.find(Digest::Of("secret").hex().substr(0, 12)),
            std::string::npos);
}

TEST_F(StateViewTeams, UsedTeam_ShowsUseOfHostAndOfAllHosts) {
  const boost::json::object quotas{
      {"teams",
       {{{"team", "billing"},
         {"limited", true},
         {"rate_of_host", 5},
         {"used_per_s", 4},
         {"admitted", 10},
         {"refused", 3}}}},
      {"allocated",
       {{{"team_hash", HashTeam(TeamName("billing"))},
         {"demand_per_s", 120}}}}};
  const boost::json::array view = TeamsView(OneTeam(), quotas);
  ASSERT_EQ(view.size(), 1U);
  EXPECT_EQ(view[0].at("refused"), 3);
  EXPECT_EQ(view[0].at("demand_of_all_hosts_per_s"), 120);
}

TEST_F(StateViewTeams, NoConfiguration_IsEmpty) {
  EXPECT_TRUE(TeamsView(nullptr, boost::json::object()).empty());
}

}  // namespace
}  // namespace camphor

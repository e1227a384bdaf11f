#include "node/platform_sync/host_directory.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "unit_tests/store/fake_platform.h"

namespace camphor {
namespace {

// Several hosts on one fake platform; the test controls the order in which
// calls complete.
class HostDirectoryTest : public testing::Test {
 protected:
  struct Host {
    std::set<Endpoint> found{};
    std::unique_ptr<HostDirectory> directory{};
  };

  static Endpoint MeshEndpoint(int number) {
    return {.address = fmt::format("10.0.0.{}", number), .port = 7000};
  }

  Host& Add(int number) {
    Host& host = hosts_.emplace_back();
    host.directory = std::make_unique<HostDirectory>(HostDirectory::Options{
        .host = HostId(fmt::format("host-{:02}", number)),
        .mesh = MeshEndpoint(number),
        .platform = &platform_,
        .log = &log_,
        .on_hosts_found =
            [&host](const std::vector<Endpoint>& meshes) {
              host.found.insert(meshes.begin(), meshes.end());
            },
        .post = [](const std::function<void()>& task) { task(); }});
    return host;
  }

  void TickAll(Milliseconds later = Seconds(3)) {
    now_ += later;
    for (const Host& host : hosts_)
      host.directory->Tick(host.found.empty(), now_);
  }

  FakePlatform platform_;
  LogSink log_{{.write = [](const std::string&) {}}};
  MonoTime now_{Seconds(100)};
  std::deque<Host> hosts_;
};

TEST_F(HostDirectoryTest, TwoHostsStartTogether_FindEachOther) {
  Add(1);
  Add(2);
  for (int round = 0; round < 4; ++round) {
    TickAll();
    platform_.Run();
  }
  EXPECT_TRUE(hosts_[0].found.contains(MeshEndpoint(2)));
  EXPECT_TRUE(hosts_[1].found.contains(MeshEndpoint(1)));
}

// Another writer may leave an entry that no host wrote.
TEST_F(HostDirectoryTest, OddEntriesInTable_OthersAreFound) {
  const std::string nested = std::string(5000, '[') + std::string(5000, ']');
  platform_.Put("mesh_hosts", "host-00", nested);
  platform_.Put("mesh_hosts", "host-01", "10.0.0.1:70000");
  platform_.Put("mesh_hosts", "host-02", "10.0.0.2:99999999999999999999999999");
  platform_.Put("mesh_hosts", "host-03", std::string("\0\xff\n", 3));
  platform_.Put("mesh_hosts", "host-04", "");
  platform_.Put("mesh_hosts", "host-05", MeshEndpoint(5).ToString());
  Host& host = Add(9);
  for (int round = 0; round < 3; ++round) {
    TickAll();
    platform_.Run();
  }
  EXPECT_EQ(host.found, std::set<Endpoint>{MeshEndpoint(5)});
}

TEST_F(HostDirectoryTest, LastKeyInTable_WrapsAroundToFirst) {
  for (int number = 1; number < 5; ++number)
    platform_.Put("mesh_hosts", fmt::format("host-{:02}", number),
                  MeshEndpoint(number).ToString());
  Host& last = Add(9);
  for (int round = 0; round < 3; ++round) {
    TickAll();
    platform_.Run();
  }
  EXPECT_EQ(last.found.size(), 4U);
}

TEST_F(HostDirectoryTest, PlatformUnavailableAtStart_FindsHostsAfterRecovery) {
  platform_.Put("mesh_hosts", "host-05", MeshEndpoint(5).ToString());
  Host& host = Add(1);
  for (int round = 0; round < 3; ++round) {
    TickAll();
    while (platform_.waiting() > 0)
      platform_.Step(FakePlatform::Fault::kRefused);
  }
  EXPECT_TRUE(host.found.empty());
  for (int round = 0; round < 3; ++round) {
    TickAll();
    platform_.Run();
  }
  EXPECT_TRUE(host.found.contains(MeshEndpoint(5)));
}

TEST_F(HostDirectoryTest, WriteResponseLost_WritesAgain) {
  Add(1);
  TickAll();
  platform_.Step(FakePlatform::Fault::kResponseLost);
  TickAll();
  platform_.Run();
  EXPECT_EQ(platform_.Value("mesh_hosts", "host-01"),
            MeshEndpoint(1).ToString());
  EXPECT_EQ(platform_.CountRows("mesh_hosts"), 1U);
}

TEST_F(HostDirectoryTest, MalformedRow_IsSkipped) {
  platform_.Put("mesh_hosts", "host-05", "nonsense");
  platform_.Put("mesh_hosts", "host-06", MeshEndpoint(6).ToString());
  Host& host = Add(1);
  for (int round = 0; round < 3; ++round) {
    TickAll();
    platform_.Run();
  }
  EXPECT_EQ(host.found, std::set<Endpoint>{MeshEndpoint(6)});
}

TEST_F(HostDirectoryTest, HostWithPeers_StopsReading) {
  platform_.Put("mesh_hosts", "host-05", MeshEndpoint(5).ToString());
  Add(1);
  for (int round = 0; round < 3; ++round) {
    TickAll();
    platform_.Run();
  }
  TickAll(Seconds(60));
  EXPECT_EQ(platform_.waiting(), 0U);
}

}  // namespace
}  // namespace camphor

#include "core/membership/overlay.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace camphor {
namespace {

std::map<HostId, HostRecord> MakeHosts(int count, int domains) {
  std::map<HostId, HostRecord> hosts;
  for (int index = 0; index < count; ++index) {
    const HostId id(fmt::format("host-{}", index));
    hosts.emplace(id, HostRecord{.host = id,
                                 .domain = FailureDomain(
                                     fmt::format("d{}", index % domains))});
  }
  return hosts;
}

TEST(OverlayGetNeighbours, ManyHosts_SymmetricBoundedAndMostlyOwnDomain) {
  const auto hosts = MakeHosts(1800, 9);
  const Overlay overlay(hosts, {});
  std::size_t own = 0;
  std::size_t all = 0;
  for (const auto& [id, record] : hosts) {
    const std::set<HostId> neighbours = overlay.GetNeighbours(id);
    EXPECT_LE(neighbours.size(), 6U);
    for (const HostId& neighbour : neighbours) {
      EXPECT_TRUE(overlay.GetNeighbours(neighbour).contains(id));
      ++all;
      if (hosts.at(neighbour).domain == record.domain) ++own;
    }
  }
  EXPECT_GT(own * 3, all * 2);
}

TEST(OverlayGetNeighbours, ManyHosts_EveryHostIsFewHopsAway) {
  const auto hosts = MakeHosts(1800, 9);
  const Overlay overlay(hosts, {});
  std::map<HostId, int> hops{{hosts.begin()->first, 0}};
  std::deque<HostId> open{hosts.begin()->first};
  while (!open.empty()) {
    const HostId host = open.front();
    open.pop_front();
    for (const HostId& next : overlay.GetNeighbours(host))
      if (hops.emplace(next, hops.at(host) + 1).second) open.push_back(next);
  }
  EXPECT_EQ(hops.size(), hosts.size());
  EXPECT_LE(std::ranges::max_element(
                hops, {}, [](const auto& entry) { return entry.second; })
                ->second,
            10);
}

TEST(OverlayGetNeighbours, DeadHost_IsExcluded) {
  auto hosts = MakeHosts(6, 3);
  hosts.at(HostId("host-2")).status = HostStatus::kDead;
  const Overlay overlay(hosts, {});
  EXPECT_TRUE(overlay.GetNeighbours(HostId("host-2")).empty());
  for (const auto& [id, record] : hosts)
    EXPECT_FALSE(overlay.GetNeighbours(id).contains(HostId("host-2")));
}

TEST(OverlayGetPollers, EachDomain_HasTwoPollers) {
  const auto hosts = MakeHosts(90, 9);
  const Overlay overlay(hosts, {});
  for (int domain = 0; domain < 9; ++domain) {
    const FailureDomain name(fmt::format("d{}", domain));
    const auto pollers = overlay.GetPollers(name);
    EXPECT_EQ(pollers.size(), 2U);
    for (const HostId& poller : pollers)
      EXPECT_EQ(hosts.at(poller).domain, name);
  }
}

TEST(OverlayGetPollers, PollersWithoutPlatform_AreReplaced) {
  auto hosts = MakeHosts(30, 3);
  const FailureDomain domain("d0");
  const auto first = Overlay(hosts, {}).GetPollers(domain);
  for (const HostId& host : first) hosts.at(host).platform_lost = true;
  const auto second = Overlay(hosts, {}).GetPollers(domain);
  EXPECT_EQ(second.size(), 2U);
  for (const HostId& host : second) {
    EXPECT_FALSE(hosts.at(host).platform_lost);
    EXPECT_EQ(hosts.at(host).domain, domain);
  }
}

TEST(OverlayGetPollers,
     PlatformUnavailableToAll_FewHostsPollAndFirstOnesContinue) {
  auto hosts = MakeHosts(600, 3);
  const FailureDomain domain("d0");
  const auto first = Overlay(hosts, {}).GetPollers(domain);
  // Mark each new poller as not answered by the platform until no unmarked
  // poller is left.
  std::size_t tried = 0;
  for (bool changed = true; changed;) {
    changed = false;
    for (const HostId& host : Overlay(hosts, {}).GetPollers(domain)) {
      if (hosts.at(host).platform_lost) continue;
      hosts.at(host).platform_lost = changed = true;
      ++tried;
    }
  }
  EXPECT_LE(tried, 8U);
  EXPECT_EQ(Overlay(hosts, {}).GetPollers(domain), first);
}

}  // namespace
}  // namespace camphor

#include "core/rollout/evidence_tree.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace camphor {
namespace {

std::vector<HostId> Hosts(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int host = 0; host < count; ++host) {
    hosts.emplace_back("h" + std::to_string(host));
  }
  return hosts;
}

TEST(EvidenceTreeFindParent, ArbitraryHosts_LeadsToOwnerWithBoundedFanIn) {
  EXPECT_TRUE(rc::check([] {
    const auto count = *rc::gen::inRange(1, 400);
    const RolloutId rollout(*rc::gen::element<std::string>("a/1/2/1", "b"));
    const EvidenceTree tree(rollout, Hosts(count));
    std::map<HostId, std::size_t> children;
    for (const HostId& host : Hosts(count)) {
      HostId current = host;
      int hops = 0;
      while (const std::optional<HostId> parent = tree.FindParent(current)) {
        current = *parent;
        RC_ASSERT(++hops <= 3);
      }
      RC_ASSERT(current == tree.owner());
      if (tree.FindParent(host)) ++children[*tree.FindParent(host)];
    }
    for (const auto& [host, number] : children) {
      RC_ASSERT(number <= kEvidenceFanIn);
    }
  }));
}

TEST(EvidenceTree, HostsInDifferentOrder_IsEqual) {
  std::vector<HostId> reversed = Hosts(40);
  std::ranges::reverse(reversed);
  EXPECT_EQ(EvidenceTree(RolloutId("r"), Hosts(40)),
            EvidenceTree(RolloutId("r"), reversed));
}

TEST(EvidenceTreeOwner, NoHosts_IsNullopt) {
  const EvidenceTree tree(RolloutId("r"), {});
  EXPECT_EQ(tree.owner(), std::nullopt);
  EXPECT_EQ(tree.FindParent(HostId("h")), std::nullopt);
}

}  // namespace
}  // namespace camphor

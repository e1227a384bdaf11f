#include "core/rollout/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace camphor {

std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate) {
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(),
                              XXH3_64bits(key.data(), key.size()));
}

std::vector<RoutedTarget> ChooseTargets(const RolloutId& rollout,
                                        std::vector<RoutedTarget> targets,
                                        std::size_t count) {
  if (count == 0 || targets.size() <= count) return targets;
  const auto weight = [&rollout](const RoutedTarget& target) {
    return RendezvousWeight(rollout.value(), target.info.id.value());
  };
  std::ranges::sort(targets, std::greater<>(), weight);
  targets.resize(count);
  std::ranges::sort(targets, {},
                    [](const RoutedTarget& target) { return target.info.id; });
  return targets;
}

}  // namespace camphor

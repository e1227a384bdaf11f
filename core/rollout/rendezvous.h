#ifndef CAMPHORHILL_CORE_ROLLOUT_RENDEZVOUS_H_
#define CAMPHORHILL_CORE_ROLLOUT_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/base/identifier.h"
#include "core/routing/effective_routing.h"

namespace camphor {

/// Returns the weight of a candidate for a key. The candidate with the highest
/// weight is selected (rendezvous hashing). All hosts compute the same weight.
/// Thread-safe.
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

/// Selects the `count` targets with the highest weight for this rollout, sorted
/// by id; returns all targets if `count` is 0. When `count` increases, all
/// previously selected targets remain selected. Thread-safe.
std::vector<RoutedTarget> ChooseTargets(const RolloutId& rollout,
                                        std::vector<RoutedTarget> targets,
                                        std::size_t count);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_RENDEZVOUS_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_RENDEZVOUS_H_
#define CAMPHORHILL_CORE_ROLLOUT_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/base/identifier.h"
#include "core/routing/effective_routing.h"

namespace camphor {

/// Weight of a candidate under a key; the candidate of the highest weight is
/// chosen (rendezvous hashing). The same on every host. Thread safety: any
/// thread.
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

/// Keeps the `count` targets of the highest weight for this rollout, sorted by
/// id as before; 0 keeps all. As `count` rises, chosen targets stay chosen.
/// @pre none. Thread safety: any thread.
std::vector<RoutedTarget> ChooseTargets(const RolloutId& rollout,
                                        std::vector<RoutedTarget> targets,
                                        std::size_t count);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_RENDEZVOUS_H_

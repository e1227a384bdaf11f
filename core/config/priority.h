#ifndef CAMPHORHILL_CORE_CONFIG_PRIORITY_H_
#define CAMPHORHILL_CORE_CONFIG_PRIORITY_H_

#include <cstdint>

namespace camphor {

/// Priorities of routes and teams are 0, the highest, to this one.
inline constexpr std::uint32_t kLowestPriority = 1000;

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_PRIORITY_H_

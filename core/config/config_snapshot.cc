#include "core/config/config_snapshot.h"

#include <algorithm>

namespace camphor {

const PoolSpec* ConfigSnapshot::FindPool(const PoolName& name) const {
  const auto found = std::ranges::find(pools, name, &PoolSpec::name);
  return found == pools.end() ? nullptr : &*found;
}

}  // namespace camphor

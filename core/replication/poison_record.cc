#include "core/replication/poison_record.h"

#include <algorithm>
#include <cassert>

namespace camphor {

PoisonRecord PoisonRecord::Merge(const PoisonRecord& left,
                                 const PoisonRecord& right) {
  assert(left.fingerprint == right.fingerprint);
  PoisonRecord merged = left;
  merged.deaths.insert(right.deaths.begin(), right.deaths.end());
  merged.expires = std::max(left.expires, right.expires);
  return merged;
}

}  // namespace camphor

#include "core/replication/host_record.h"

#include <cassert>
#include <tuple>

namespace camphor {

HostRecord HostRecord::Merge(const HostRecord& left, const HostRecord& right) {
  assert(left.host == right.host);
  const auto order = [](const HostRecord& record) {
    return std::tie(record.incarnation, record.sequence, record.status);
  };
  // Records of one order differ only if a host broke its promise; the full
  // comparison keeps the merge commutative.
  if (order(left) != order(right))
    return order(left) < order(right) ? right : left;
  return left < right ? right : left;
}

}  // namespace camphor

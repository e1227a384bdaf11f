#include "core/replication/host_record.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphor {

HostRecord HostRecord::Merge(const HostRecord& left, const HostRecord& right) {
  assert(left.host == right.host);
  if (left.incarnation != right.incarnation)
    return left.incarnation < right.incarnation ? right : left;

  // The version in force travels on its own and only rises within one life.
  HostRecord first = left;
  HostRecord second = right;
  first.config_version = std::max(left.config_version, right.config_version);
  second.config_version = first.config_version;
  const auto order = [](const HostRecord& record) {
    return std::tie(record.sequence, record.status);
  };
  // Records of one order differ only if a host broke its promise; the full
  // comparison keeps the merge commutative.
  if (order(first) != order(second))
    return order(first) < order(second) ? second : first;
  return first < second ? second : first;
}

}  // namespace camphor

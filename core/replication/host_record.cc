#include "core/replication/host_record.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphor {

HostRecord HostRecord::Merge(const HostRecord& left, const HostRecord& right) {
  assert(left.host == right.host);
  if (left.incarnation != right.incarnation)
    return left.incarnation < right.incarnation ? right : left;

  // The served version is replicated separately and only increases within an
  // incarnation.
  HostRecord first = left;
  HostRecord second = right;
  first.config_version = std::max(left.config_version, right.config_version);
  second.config_version = first.config_version;
  const auto order = [](const HostRecord& record) {
    return std::tie(record.sequence, record.status);
  };
  // Records with equal sequence and status differ only if a host changed its
  // record without increasing the sequence. Comparing all fields keeps the
  // merge commutative even then.
  if (order(first) != order(second))
    return order(first) < order(second) ? second : first;
  return first < second ? second : first;
}

}  // namespace camphor

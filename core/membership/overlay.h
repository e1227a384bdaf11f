#ifndef CAMPHORHILL_CORE_MEMBERSHIP_OVERLAY_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_OVERLAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/replication/host_record.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Neighbour relation of the hosts, derived from the host records, so that
/// hosts with equal records compute equal overlays.
///
/// Hosts are arranged in rings ordered by a hash: some rings within each
/// failure domain and some over all hosts. Hosts adjacent in a ring are
/// neighbours, so the relation is symmetric and the number of neighbours is
/// bounded. Combining rings of different order keeps paths short. Immutable
/// after construction.
class Overlay {
 public:
  /// Creates an overlay without hosts.
  Overlay() = default;

  /// Creates the overlay of all hosts that are not dead.
  Overlay(const std::map<HostId, HostRecord>& hosts,
          const ReplicatorSettings& settings);

  /// Neighbours of a host; empty if the host is unknown. Thread-safe.
  std::set<HostId> GetNeighbours(const HostId& host) const;

  /// Hosts of a failure domain that poll the platform. Hosts that the platform
  /// does not answer are replaced, unless there are so many of them that the
  /// platform must be unavailable to all. Thread-safe.
  std::vector<HostId> GetPollers(const FailureDomain& domain) const;

  /// Failure domains that have a host, sorted. Thread-safe.
  std::vector<FailureDomain> GetDomains() const;

  /// Number of failure domains that have a host. Thread-safe.
  std::size_t domain_count() const { return domain_count_; }

 private:
  using Ring = std::vector<HostId>;

  static Ring MakeRing(std::vector<HostId> members, std::uint32_t number);

  std::vector<Ring> global_rings_;
  std::map<FailureDomain, std::vector<Ring>> domain_rings_;
  std::map<HostId, FailureDomain> domain_of_;
  std::set<HostId> platform_lost_;  ///< hosts that the platform does not answer
  std::size_t domain_count_ = 0;
  std::uint32_t pollers_per_domain_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_OVERLAY_H_

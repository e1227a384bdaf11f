#ifndef CAMPHORHILL_CORE_MEMBERSHIP_OVERLAY_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_OVERLAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/replication/host_record.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Who talks to whom, worked out alike on every host from the host records.
///
/// Hosts stand in rings ordered by a hash: some within each failure domain and
/// some over all of them. Neighbours in a ring are neighbours in the overlay,
/// so the relation is symmetric, the number is bounded, and two rings of
/// different order have short paths. Immutable after construction.
class Overlay {
 public:
  /// No hosts.
  Overlay() = default;

  /// Takes the hosts that are not dead.
  Overlay(const std::map<HostId, HostRecord>& hosts,
          const ReplicatorSettings& settings);

  /// Neighbours of a host, in order of id; none when it is not known. Thread
  /// safety: any thread.
  std::set<HostId> NeighboursOf(const HostId& host) const;

  /// Hosts of a failure domain that poll the platform. Those that it does not
  /// answer are replaced by others, unless so many are that it must be out for
  /// all. Thread safety: any thread.
  std::vector<HostId> PollersOf(const FailureDomain& domain) const;

  /// Failure domains that have a host. Thread safety: any thread.
  std::size_t domain_count() const { return domains_; }

 private:
  using Ring = std::vector<HostId>;

  static Ring MakeRing(std::vector<HostId> members, std::uint32_t number);

  std::vector<Ring> global_rings_;
  std::map<FailureDomain, std::vector<Ring>> domain_rings_;
  std::map<HostId, FailureDomain> domain_of_;
  std::set<HostId> platform_lost_;  ///< hosts that the platform does not answer
  std::size_t domains_ = 0;
  std::uint32_t pollers_per_domain_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_OVERLAY_H_

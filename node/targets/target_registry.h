#ifndef CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_
#define CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_

#include <map>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/membership/target_announcement.h"
#include "core/replication/host_record.h"

namespace camphor {

/// Registry of the targets of this host, based on leases.
///
/// A target that leaves or whose lease expires stays listed as leaving for a
/// while, so that all hosts learn of it before the entry is removed. Must be
/// used from one thread; the caller passes in the current time.
class TargetRegistry {
 public:
  struct Options {
    Milliseconds lease{6000};           ///< validity of a lease without renewal
    Milliseconds warming_limit{60000};  ///< maximum duration of the warm-up
    Milliseconds leaving_retention{
        10000};  ///< time for which leaving targets stay listed
    Milliseconds departed_retention{
        5000};  ///< time for which reports of a target that left unknown are
                ///< ignored
    std::uint32_t max_targets = 256;  ///< maximum number of targets
  };

  explicit TargetRegistry(Options options) : options_(options) {}

  /// Adds or updates a target and renews its lease. Returns false if there are
  /// too many targets. Must be called from one thread.
  bool Announce(const TargetAnnouncement& announcement, MonoTime now);

  /// Result of Report(). kChanged means that the list of targets changed.
  enum class ReportResult : std::uint8_t {
    kRenewed,
    kChanged,
    kStale,
    kTooMany
  };

  /// Processes a periodic report, which announces a target, renews its lease or
  /// marks it as leaving. Stale reports, and those of an earlier run of the
  /// target, are ignored. Must be called from one thread.
  ReportResult Report(const TargetAnnouncement& report, MonoTime now);

  /// Renews a lease. Returns false if the target is unknown or leaving and
  /// therefore has to be announced again. Must be called from one thread.
  bool Renew(const TargetId& id, MonoTime now);

  /// Marks a target as leaving, so that it receives no new requests. Returns
  /// false if it is unknown, for example after a restart of this host; reports
  /// that it sent before are then ignored. Must be called from one thread.
  bool Leave(const TargetId& id, MonoTime now);

  /// Ends expired leases and warm-ups and removes targets that have left.
  /// Returns true if anything changed. Must be called from one thread.
  bool Expire(MonoTime now);

  /// Targets in the form of the host record, sorted by ID. Must be called from
  /// one thread.
  std::vector<TargetInfo> targets() const;

  /// Addresses of the targets that are not leaving. Must be called from one
  /// thread.
  std::map<TargetId, Endpoint> addresses() const;

 private:
  struct Entry {
    TargetAnnouncement announcement;  ///< latest announcement or report
    TargetStatus status = TargetStatus::kReady;  ///< current status
    MonoTime first_seen;  ///< first announcement of this run
    MonoTime renewed;     ///< last renewal of the lease
    MonoTime left_at{};   ///< time at which it was marked as leaving
  };

  bool HasDeparted(const TargetId& id, MonoTime now) const;

  Options options_;
  std::map<TargetId, Entry> entries_;
  std::map<TargetId, MonoTime> departed_;  ///< when unknown targets left
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_

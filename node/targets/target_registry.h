#ifndef CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_
#define CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "core/membership/departure_history.h"
#include "core/membership/target_announcement.h"
#include "core/membership/target_departure.h"
#include "core/replication/host_record.h"

namespace camphor {

/// Registry of the targets of this host, based on leases.
///
/// A target that leaves or whose lease expires stays listed as leaving for a
/// while, so that all hosts learn of it before the entry is removed. A run of a
/// target that has left never becomes available again, however late one of its
/// reports arrives. Must be used from one thread; the caller passes in the
/// current time.
class TargetRegistry {
 public:
  struct Options {
    Milliseconds lease{6000};           ///< validity of a lease without renewal
    Milliseconds warming_limit{60000};  ///< maximum duration of a warm-up;
                                        ///< none where `has_cold_rate` holds
    Milliseconds leaving_retention{
        10000};  ///< time for which leaving targets stay listed
    std::uint32_t max_targets = 256;  ///< maximum number of targets
    bool await_departures = false;    ///< CompleteDepartures will be called
    Milliseconds confirm_after{
        1000};  ///< until then, an unknown target is added only by a second
                ///< report, at least this long after its first
    std::uint64_t process_started_ms =
        UINT64_MAX;  ///< Unix time at which this process started; no earlier
                     ///< one knew a run that started after it
    std::function<bool(const PoolName&)>
        has_cold_rate{};  ///< returns true if a cold target of the pool
                          ///< tolerates only a limited rate; null: none does
    Milliseconds report_gap{
        4000};  ///< a target that reports every 1.5 s and has not for this long
                ///< may have turned cold; used where `has_cold_rate` holds
  };

  explicit TargetRegistry(Options options)
      : options_(std::move(options)),
        departures_known_(!options_.await_departures) {}

  /// Adds or updates a target and renews its lease. Returns false if there are
  /// too many targets. Must be called from one thread.
  bool Announce(const TargetAnnouncement& announcement, MonoTime now);

  /// Result of Report(). kChanged means that the list of targets changed.
  enum class ReportResult : std::uint8_t {
    kRenewed,
    kChanged,
    kStale,
    kTooMany,
    kUnconfirmed,  ///< departures are not known yet; see Options
  };

  /// Processes a periodic report, which announces a target, renews its lease or
  /// marks it as leaving. Stale reports, and those of an earlier run of the
  /// target, are ignored. Must be called from one thread.
  ReportResult Report(const TargetAnnouncement& report, MonoTime now);

  /// Renews a lease. Returns false if the target is unknown or leaving and
  /// therefore has to be announced again. Must be called from one thread.
  bool Renew(const TargetId& id, MonoTime now);

  /// Marks a target as leaving, so that it receives no new requests. Returns
  /// false if that run is not listed, for example after a restart of this host;
  /// its reports are ignored all the same if the start time is known. Must be
  /// called from one thread.
  bool Leave(const TargetDeparture& departure, MonoTime now);

  /// Adds departures that an earlier process of this host recorded. Returns
  /// true if the list of targets changed. Must be called from one thread.
  bool LoadDepartures(const std::vector<TargetDeparture>& departures,
                      MonoTime now);

  /// The departures that are stored were loaded: from now on, one report adds a
  /// target. Those loaded later take it out again. Returns true if the list of
  /// targets changed. Must be called from one thread.
  bool CompleteDepartures(MonoTime now);

  /// All departures that are known. Must be called from one thread.
  const std::vector<TargetDeparture>& departures() const {
    return history_.departures();
  }

  /// Increases whenever departures() changes. Must be called from one thread.
  std::uint64_t departures_recorded() const { return history_.recorded(); }

  /// Takes a target as cold until its next report: it may have restarted. Only
  /// for targets that report periodically, in pools with a cold rate. Returns
  /// true if the list of targets changed. Must be called from one thread.
  bool AssumeCold(const TargetId& id);

  /// Records the death of a target. Returns when its current run died, which is
  /// earlier than `wall_now` if the death was recorded before. Must be called
  /// from one thread.
  WallTime RecordDeath(const TargetId& id, WallTime wall_now);

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
    std::optional<MonoTime> cold_since{};  ///< since when it calls itself cold
    MonoTime renewed;                      ///< last renewal of the lease
    MonoTime left_at{};     ///< time at which it was marked as leaving
    bool departed = false;  ///< it said that it leaves
    std::optional<WallTime> died_at{};  ///< set if this run has died
  };

  struct UnconfirmedReport {
    TargetAnnouncement report;
    MonoTime first_at;  ///< arrival of the target's first report
  };

  bool HasColdRate(const Entry& entry) const;
  bool IsConfirmed(const TargetAnnouncement& report, MonoTime now);
  bool IsReplacedAtItsAddress(const TargetAnnouncement& report) const;
  void ReplaceTargetsAt(const TargetAnnouncement& report, MonoTime now);
  static void MarkLeaving(Entry& entry, MonoTime now);

  Options options_;
  bool departures_known_;
  std::map<TargetId, Entry> entries_;
  DepartureHistory history_;
  std::map<TargetId, UnconfirmedReport> unconfirmed_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_TARGETS_TARGET_REGISTRY_H_

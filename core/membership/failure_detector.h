#ifndef CAMPHORHILL_CORE_MEMBERSHIP_FAILURE_DETECTOR_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "core/base/identifier.h"
#include "core/base/time.h"
#include "core/replication/mesh_message.h"
#include "core/replication/replicator_settings.h"

namespace camphor {

/// Detects the loss of overlay neighbours, in agreement with their other
/// watchers.
///
/// A neighbour that stays silent becomes suspected and is reported to its other
/// watchers. A watcher that has heard from the neighbour, or reaches it with a
/// probe, replies so, and the suspicion is withdrawn. The suspicion is
/// confirmed only when enough watchers have lost contact. Takes the current
/// time as a parameter. Must be used from one thread.
class FailureDetector {
 public:
  struct Options {
    HostId self{};  ///< this host
    std::function<std::set<HostId>(const HostId&)>
        get_watchers{};  ///< returns the hosts that watch a host
    std::function<void(const HostId&, const SuspicionReport&)>
        report{};  ///< sends a report to another watcher
    std::function<void(const HostId&)>
        probe{};  ///< sends a message that requests a reply from a host
    std::function<void(const HostId&, std::uint64_t, std::uint64_t)>
        confirmed{};  ///< called when a suspicion is confirmed, with id,
                      ///< incarnation and sequence of the host
  };

  /// Latest known incarnation and sequence of a watched host.
  struct HostVersion {
    std::uint64_t incarnation = 0;  ///< incarnation of the host record
    std::uint64_t sequence = 0;     ///< sequence of the host record

    auto operator<=>(const HostVersion&) const = default;
  };

  /// @pre `settings` outlives this object; all callbacks are set.
  FailureDetector(Options options, const ReplicatorSettings& settings);

  /// Replaces the set of watched hosts. A host that is added counts as heard
  /// from now.
  void SetWatchedHosts(const std::map<HostId, HostVersion>& neighbours,
                       MonoTime now);

  /// Handles any message from a host.
  void OnMessageReceived(const HostId& host, MonoTime now);

  /// Handles a failed connection to a host.
  void OnConnectionFailed(const HostId& host, MonoTime now);

  /// Handles a report of another watcher.
  void OnSuspicionReport(const HostId& from, const SuspicionReport& report,
                         MonoTime now);

  /// Raises suspicions after silence and expires probes. Call about ten times a
  /// second.
  void Tick(MonoTime now);

  /// Number of suspicions raised by this host, withdrawn because another
  /// watcher reached the host, and confirmed.
  std::uint64_t raised() const { return raised_; }
  std::uint64_t withdrawn() const { return withdrawn_; }
  std::uint64_t confirmed() const { return confirmed_; }

 private:
  struct WatchState {
    HostVersion version{};
    MonoTime last_received{};
    MonoTime deadline{};           // silence until then raises a suspicion
    bool suspected = false;        // suspected by this host
    MonoTime next_report{};        // time of the next repeated report
    std::set<HostId> reporters{};  // other watchers that reported it as lost
  };

  // A probe of a host on behalf of other watchers.
  struct Probe {
    SuspicionReport report{};
    std::set<HostId> requesters{};
    MonoTime deadline{};
  };

  void RaiseSuspicion(const HostId& host, WatchState& watched, MonoTime now);
  void SendReports(const HostId& host, const WatchState& watched);
  void ConfirmIfEnoughReports(const HostId& host, WatchState& watched,
                              MonoTime now);
  void StartProbe(const HostId& requester, const SuspicionReport& report,
                  MonoTime now);
  void ExpireProbes(MonoTime now);

  Options options_;
  const ReplicatorSettings& settings_;
  std::map<HostId, WatchState> watch_states_;
  std::map<HostId, Probe> probes_;
  std::uint64_t raised_ = 0;
  std::uint64_t withdrawn_ = 0;
  std::uint64_t confirmed_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_FAILURE_DETECTOR_H_

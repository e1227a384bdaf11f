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

/// Watches the overlay's neighbours and finds out, with the neighbours' other
/// watchers, which of them are lost.
///
/// A neighbour that stays silent is reported to its other watchers. A watcher
/// that hears from it says so, and the suspicion ends; one that had no word of
/// it probes it first. Only when enough watchers lost it is the suspicion
/// confirmed. Time is passed in; one thread.
class FailureDetector {
 public:
  struct Options {
    HostId self{};  ///< this host
    std::function<std::set<HostId>(const HostId&)>
        watchers_of{};  ///< who watches a host
    std::function<void(const HostId&, const SuspicionReport&)>
        report{};  ///< sends a report to another watcher
    std::function<void(const HostId&)> probe{};  ///< asks a host for an answer
    std::function<void(const HostId&, std::uint64_t, std::uint64_t)>
        confirmed{};  ///< a host is lost: id, incarnation, sequence
  };

  /// Which life of a host is watched.
  struct Life {
    std::uint64_t incarnation = 0;  ///< incarnation last heard of
    std::uint64_t sequence = 0;     ///< sequence last heard of

    auto operator<=>(const Life&) const = default;
  };

  /// @pre settings outlive this; all hooks are set.
  FailureDetector(Options options, const ReplicatorSettings& settings);

  /// Sets who is watched from now on. A new one counts as heard now.
  void Watch(const std::map<HostId, Life>& neighbours, MonoTime now);

  /// A message of the host came.
  void Heard(const HostId& host, MonoTime now);

  /// A connection to the host failed.
  void LinkLost(const HostId& host, MonoTime now);

  /// Another watcher reported.
  void OnReport(const HostId& from, const SuspicionReport& report,
                MonoTime now);

  /// Finds silence and unanswered probes. Call about ten times a second.
  void Tick(MonoTime now);

  /// Suspicions that were raised, ended by another watcher, and confirmed.
  std::uint64_t raised() const { return raised_; }
  std::uint64_t withdrawn() const { return withdrawn_; }
  std::uint64_t confirmed() const { return confirmed_; }

 private:
  struct Watched {
    Life life{};
    MonoTime heard{};
    MonoTime deadline{};        // silence beyond this raises a suspicion
    bool suspected = false;     // by this host
    MonoTime next_report{};     // the report is repeated then
    std::set<HostId> losers{};  // other watchers that lost it
  };

  // A host that this one probes for another watcher.
  struct Probe {
    SuspicionReport report{};
    std::set<HostId> askers{};
    MonoTime deadline{};
  };

  void Suspect(const HostId& host, Watched& watched, MonoTime now);
  void Report(const HostId& host, const Watched& watched);
  void ConfirmIfEnough(const HostId& host, Watched& watched, MonoTime now);
  void ProbeFor(const HostId& asker, const SuspicionReport& report,
                MonoTime now);
  void EndProbes(MonoTime now);

  Options options_;
  const ReplicatorSettings& settings_;
  std::map<HostId, Watched> watched_;
  std::map<HostId, Probe> probes_;
  std::uint64_t raised_ = 0;
  std::uint64_t withdrawn_ = 0;
  std::uint64_t confirmed_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_FAILURE_DETECTOR_H_

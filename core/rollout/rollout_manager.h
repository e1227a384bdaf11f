#ifndef CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_MANAGER_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/config/config_snapshot.h"
#include "core/replication/host_record.h"
#include "core/replication/rollout_record.h"
#include "core/rollout/evidence_report.h"
#include "core/rollout/rollout_tracker.h"
#include "core/rollout/short_rollout.h"
#include "core/routing/request_sample.h"

namespace camphor {

/// Runs all rollouts on one host: collects local evidence, aggregates the
/// evidence of other hosts, makes the decisions for rollouts that this host
/// owns, and ejects a bad version locally without waiting for the owner.
///
/// Owned by the decisions thread. Performs no I/O and reads no clock: time is
/// passed in and effects go through the callbacks.
class RolloutManager {
 public:
  struct Options {
    HostId host;                    ///< this host
    std::uint64_t incarnation = 0;  ///< incarnation of this process
    std::function<void(const RolloutRecord&)>
        publish{};  ///< merges a record into the replicated state
    std::function<void(const HostId&, const EvidenceReport&)>
        send_evidence{};  ///< sends a report to the parent host
    std::function<void(const RolloutEvaluation&)>
        evaluated{};  ///< optional; called about once per second for each
                      ///< rollout that this host owns
    std::function<void()> routing_changed{};  ///< called when a local ejection
                                              ///< changes the routing
    RolloutOptions rollout{};  ///< settings of rollouts that are ordered with a
                               ///< completion time
    RolloutOptions short_rollout =
        ShortRolloutOptions();  ///< settings of rollouts that are ordered with
                                ///< a duration
  };

  explicit RolloutManager(Options options);
  ~RolloutManager();

  /// Applies a new configuration: drops the rollouts that it no longer contains
  /// and starts new ones as pending.
  void SetConfig(const ConfigSnapshotPtr& snapshot);

  /// Updates the known hosts, from which every host derives the same owner and
  /// aggregation tree.
  void SetHosts(const std::map<HostId, HostRecord>& hosts);

  /// Processes a merged record from the replicated state.
  void OnRecord(const RolloutRecord& record);

  /// Counts the result of one request.
  void OnSample(const RequestSample& sample, MonoTime now);

  /// Processes the evidence report of another host.
  void OnEvidence(const EvidenceReport& report, MonoTime now);

  /// Advances all rollouts. Call about ten times per second.
  void Tick(MonoTime now, WallTime wall_now);

  /// Aborts and rolls back a rollout on behalf of the operator. Returns false
  /// if the rollout is unknown or has ended.
  bool Abort(const RolloutId& rollout, WallTime wall_now);

  /// Expedites a rollout on behalf of the operator. Returns false if the
  /// rollout is unknown or has ended.
  bool Hurry(const RolloutId& rollout);

  /// Returns the versions, by pool, that this host has ejected locally.
  const std::set<std::pair<PoolName, TargetVersion>>& locally_ejected() const;

  /// Returns the state as JSON text for the state dump and the rollout view.
  std::string DumpJson() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_MANAGER_H_

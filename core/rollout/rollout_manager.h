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

/// Runs every rollout on one host: gathers local evidence, sums that of others,
/// decides while this host owns the rollout, and ejects a bad version locally
/// at once.
///
/// Owned by the decisions thread; time is passed in, nothing is read or sent
/// but through the hooks.
class RolloutManager {
 public:
  struct Options {
    HostId host;                    ///< this host
    std::uint64_t incarnation = 0;  ///< of this process
    std::function<void(const RolloutRecord&)>
        publish{};  ///< merges a record into the replicated state
    std::function<void(const HostId&, const EvidenceReport&)>
        send_evidence{};  ///< towards the owner
    std::function<void()>
        routing_changed{};  ///< a local ejection changed what may be routed to
    RolloutOptions rollout{};  ///< settings of rollouts whose order names the
                               ///< time by which it must be complete
    RolloutOptions short_rollout =
        ShortRolloutOptions();  ///< settings of those whose order says how long
                                ///< they may take
  };

  explicit RolloutManager(Options options);
  ~RolloutManager();

  /// Takes a new configuration: rollouts that it no longer names end, new ones
  /// start as pending.
  void SetConfig(const ConfigSnapshotPtr& snapshot);

  /// Takes the live hosts, from which owner and summing tree are derived alike
  /// on every host.
  void SetHosts(const std::map<HostId, HostRecord>& hosts);

  /// Takes a merged record from the replicated state.
  void OnRecord(const RolloutRecord& record);

  /// Counts one request's result.
  void OnSample(const RequestSample& sample, MonoTime now);

  /// Takes evidence that another host summed.
  void OnEvidence(const EvidenceReport& report, MonoTime now);

  /// Advances every rollout. Call about ten times a second.
  void Tick(MonoTime now, WallTime wall_now);

  /// The operator gives a rollout up. Returns false when it is not known or has
  /// ended.
  bool Abort(const RolloutId& rollout, WallTime wall_now);

  /// The operator asks to go ahead faster. Returns false when the rollout is
  /// not known or has ended.
  bool Hurry(const RolloutId& rollout);

  /// Versions that this host itself stopped sending to, by pool.
  const std::set<std::pair<PoolName, TargetVersion>>& locally_ejected() const;

  /// State as JSON text for the dump and the rollout view.
  std::string DumpJson() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_MANAGER_H_

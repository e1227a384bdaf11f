#ifndef CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_TRACKER_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_TRACKER_H_

#include <boost/json/fwd.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "core/base/time.h"
#include "core/config/pool_spec.h"
#include "core/rollout/evidence_collector.h"
#include "core/rollout/evidence_tree.h"
#include "core/rollout/ramp_plan.h"
#include "core/rollout/rollout_evaluation.h"
#include "core/rollout/rollout_state_machine.h"
#include "core/rollout/sequential_judge.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// Settings that apply to all rollouts. Measurements of the defaults are in
/// docs/architecture/rollout.md.
struct RolloutOptions {
  RampOptions ramp{};                       ///< parameters of the traffic shift
  Milliseconds evaluation_interval{2'000};  ///< length of an evidence block,
                                            ///< after which decisions are made
  Milliseconds max_tick_gap{5'000};  ///< after a longer gap between two ticks
                                     ///< this host counts as having been paused
  Milliseconds owner_warmup{6'000};  ///< time that a new owner, or one that was
                                     ///< paused, observes before it advances
                                     ///< the rollout
  Milliseconds no_targets_timeout{
      60'000};  ///< time without targets of the new version after which it
                ///< is rolled back
  Milliseconds ejection_duration{
      60'000};  ///< duration of a local ejection, unless the rollout is
                ///< rolled back
  double final_threshold =
      0.5;  ///< evidence that rolls the version back when there is no time to
            ///< collect more: at the latest start of the ramp, and at the end
            ///< of the bake
  bool final_threshold_during_bake =
      false;  ///< apply `final_threshold` during the whole bake, for rollouts
              ///< that have no time to wait at full share
  SequentialJudge::Options judge{};    ///< settings of the owner's judge and of
                                       ///< the one for local ejection
  Milliseconds min_cold_start{3'000};  ///< minimum time for which the latency
                                       ///< of a new target is ignored
  double max_cold_start_fraction =
      0.15;  ///< maximum fraction of the available time taken by a cold start
  Milliseconds max_start_delay{
      2'000};  ///< maximum time that a rollout ordered with a duration waits
               ///< for its start to be recorded
  double full_share_fraction =
      0.7;  ///< fraction of an ordered duration after which the new version
            ///< receives the full share
  double bake_fraction = 0.08;  ///< fraction of an ordered duration that the
                                ///< bake takes
  std::function<std::unique_ptr<VersionJudge>()>
      make_judge{};  ///< creates the owner's judge; empty for SequentialJudge
  std::function<std::unique_ptr<VersionJudge>()>
      make_local_judge{};  ///< creates the judge for local ejection; empty for
                           ///< SequentialJudge
};

/// Targets of both versions and their hosts, in this host's view.
struct RolloutTargets {
  std::map<TargetId, HostId> old_version{};  ///< targets of the old version
  std::map<TargetId, HostId> new_version{};  ///< targets of the new version
  std::uint32_t new_slots = 0;  ///< total slots of the new version's targets
};

/// Runs one rollout on one host.
///
/// Every host collects evidence and ejects the version locally if its own
/// evidence is strong. The owner evaluates the aggregated evidence and advances
/// the rollout record. Time is passed in and effects go through the callbacks.
///
/// Durations are measured with the monotonic clock, from when this host saw the
/// order or the stage. Calendar clocks may step and differ between hosts, so
/// they are used only for deadlines given as calendar time, and for what
/// happened before this host saw the rollout.
/// Owned by RolloutManager. Not thread-safe.
class RolloutTracker {
 public:
  struct Options {
    HostId host;                    ///< this host
    std::uint64_t incarnation = 0;  ///< incarnation of this process
    RolloutId id;                   ///< id of the rollout
    PoolSpec pool{};                ///< pool whose `rollout` is set
    RolloutOptions settings{};      ///< settings of the rollout
    bool may_be_in_progress =
        false;  ///< the order may be older than this process's first view of it
    std::function<void(const RolloutRecord&)>
        publish{};  ///< merges a record into the replicated state
    std::function<void(const HostId&, const EvidenceReport&)>
        send_evidence{};  ///< sends a report to the parent host
    std::function<void(const RolloutEvaluation&)>
        evaluated{};  ///< optional; called about once per second by the owner
  };

  explicit RolloutTracker(Options options);

  /// Updates the pool's configuration. @pre the rollout id is unchanged.
  void SetPool(const PoolSpec& pool) { options_.pool = pool; }

  /// Sets the tree along which evidence is aggregated.
  void SetTree(EvidenceTree tree);

  /// Sets the targets. `is_lost` returns true for hosts that are dead or
  /// unknown; the evidence of their targets is removed.
  void SetTargets(RolloutTargets targets,
                  const std::function<bool(const HostId&)>& is_lost);

  /// Merges a record of this rollout; ignores records of others.
  void OnRecord(const RolloutRecord& record);

  /// Counts a request of this host.
  void OnSample(const RequestSample& sample) { collector_.AddSample(sample); }

  /// Adds the report of another host; duplicates are ignored.
  void OnEvidence(const EvidenceReport& report);

  /// Ends the evidence block when it is due and, on the owner, makes decisions.
  /// Returns true if the local ejection changed.
  bool Tick(MonoTime now, WallTime wall_now);

  /// Rolls back on behalf of the operator. Returns false if the rollout has
  /// ended.
  bool Abort(WallTime wall_now);

  /// Expedites the rollout on behalf of the operator. Returns false if the
  /// rollout has ended.
  bool Hurry();

  const RolloutRecord& record() const { return record_; }
  const PoolSpec& pool() const { return options_.pool; }
  bool ejected() const { return ejected_until_.has_value(); }

  /// Returns the state for the state dump.
  boost::json::object Dump() const;

 private:
  bool IsOwner() const { return tree_.owner() == options_.host; }
  bool HasEnded() const { return record_.stage >= RolloutStage::kDone; }
  bool CanStart(MonoTime now) const;
  void OnFirstTick();
  void SetOrderTime();
  MonoTime ToMonoTime(WallTime past) const;
  MonoTime Deadline() const;
  Milliseconds BakeDuration() const;
  std::uint32_t SlotsPerTarget() const;
  void ResetEvidence(MonoTime now);
  bool EvaluateLocalEvidence(MonoTime now);
  std::unique_ptr<VersionJudge> MakeJudge(double false_alarm_probability) const;
  void EvaluateTotalEvidence(MonoTime now);
  void ReportEvaluation(std::uint32_t hosts, MonoTime now);
  void SendReport();
  EvidenceBlock MakeBlock(std::vector<EvidenceCell> cells, MonoTime now) const;
  void Decide(MonoTime now);
  bool DecideEnd(MonoTime now);
  RolloutReason FinalThresholdReason() const;
  void DecidePending(MonoTime now);
  void DecideCanary(MonoTime now);
  void DecideRamp(MonoTime now);
  void DecideBake(MonoTime now);
  RampState MakeRampState(MonoTime now) const;
  void Widen(std::uint32_t share_ppm, MonoTime now);
  void RollBack(RolloutReason reason);
  void Transition(RolloutEvent event, RolloutRecord next);
  void EnterStage();
  void Publish(const RolloutRecord& next);
  std::vector<RouteWeight> RouteWeights() const;
  double RequestRate(MonoTime now) const;

  Options options_;
  EvidenceTree tree_;
  RolloutTargets targets_;
  RolloutRecord record_;
  RolloutStateMachine machine_;
  EvidenceCollector collector_;
  std::unique_ptr<VersionJudge> judge_;
  std::unique_ptr<VersionJudge> local_judge_;
  std::map<RouteName, double> route_requests_;
  std::uint64_t period_ = 0;
  std::optional<MonoTime> last_tick_;
  MonoTime now_{};          ///< time of the last tick
  WallTime wall_now_{};     ///< calendar time of the last tick
  MonoTime first_tick_{};   ///< first tick on this host
  MonoTime ordered_{};      ///< start of an ordered duration
  MonoTime stage_since_{};  ///< when this host saw the current stage begin
  MonoTime block_end_{};
  MonoTime owned_since_{};
  MonoTime last_step_{};
  MonoTime next_evaluation_report_{};
  std::optional<MonoTime> no_targets_since_;
  std::optional<MonoTime> ejected_until_;
  std::optional<MonoTime> canary_since_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_TRACKER_H_

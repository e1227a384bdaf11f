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
#include "core/rollout/rollout_state_machine.h"
#include "core/rollout/sequential_judge.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// Settings of all rollouts. The defaults are those that
/// docs/architecture/rollout.md gives the measurements of.
struct RolloutOptions {
  RampOptions ramp{};  ///< how the share widens
  Milliseconds evaluation_interval{
      2'000};                       ///< period of evidence and decisions
  Milliseconds longest_gap{5'000};  ///< between two ticks; after a longer one
                                    ///< this host was paused
  Milliseconds owner_warmup{
      6'000};  ///< a new owner, or one that was paused, watches
               ///< so long before it widens a share
  Milliseconds no_targets{60'000};  ///< rolled back when the new version has no
                                    ///< target for so long
  Milliseconds ejection{60'000};    ///< a local ejection lasts so long, unless
                                    ///< the rollout is rolled back
  double last_doubt = 0.5;  ///< evidence that rolls the version back when there
                            ///< is no more time to wait for more: at the latest
                            ///< start of the ramp, and at the end of the bake
  bool doubt_ends_bake = false;      ///< at full share there is no time to wait
  SequentialJudge::Options judge{};  ///< of the owner's judge, and of that
                                     ///< behind local ejection
  Milliseconds shortest_cold_start{
      3'000};  ///< a new target's latency does not count for so long at least
  double cold_start_part =
      0.15;  ///< part of the time allowed that a cold start takes at most
  Milliseconds confirmation{2'000};  ///< a rollout whose order says how long it
                                     ///< may take waits so long at most until
                                     ///< its beginning is on record
  double full_share_part = 0.7;  ///< part of the time that such an order allows
                                 ///< until the new version has all the traffic
  double bake_part = 0.08;       ///< part of it that full share is watched for
  std::function<std::unique_ptr<VersionJudge>()>
      make_judge{};  ///< judge of the owner; empty for the sequential one
  std::function<std::unique_ptr<VersionJudge>()>
      make_local_judge{};  ///< judge behind local ejection; empty likewise
};

/// Where the targets of both versions stand, as this host sees them.
struct RolloutTargets {
  std::map<TargetId, HostId> old_version{};  ///< targets that serve now
  std::map<TargetId, HostId> new_version{};  ///< targets that are to take over
  std::uint32_t new_slots = 0;  ///< slots of the new version's targets together
};

/// Runs one rollout on one host.
///
/// Every host gathers evidence and ejects the version locally on strong
/// evidence of its own; the owner judges the sum and moves the record on. Time
/// is passed in; effects leave through the hooks. Owned by RolloutManager. Not
/// thread safe.
class RolloutTracker {
 public:
  struct Options {
    HostId host;                    ///< this host
    std::uint64_t incarnation = 0;  ///< of this process
    RolloutId id;                   ///< rollout that this runs
    PoolSpec pool{};                ///< row that orders it; its rollout is set
    RolloutOptions settings{};      ///< settings of all rollouts
    std::function<void(const RolloutRecord&)>
        publish{};  ///< merges a record into the replicated state
    std::function<void(const HostId&, const EvidenceReport&)>
        send_evidence{};  ///< towards the owner
  };

  explicit RolloutTracker(Options options);

  /// Takes a changed row of the table; the rollout keeps its id.
  void SetPool(const PoolSpec& pool) { options_.pool = pool; }

  /// Takes the way of the evidence.
  void SetTree(EvidenceTree tree);

  /// Takes the targets. `is_lost` says whether a host is dead or unknown.
  void SetTargets(RolloutTargets targets,
                  const std::function<bool(const HostId&)>& is_lost);

  /// Merges a record.
  void OnRecord(const RolloutRecord& record);

  /// Counts a request of this host.
  void OnSample(const RequestSample& sample) { collector_.AddSample(sample); }

  /// Adds a report of another host; one that was counted before is ignored.
  void OnEvidence(const EvidenceReport& report);

  /// Ends a block when it is time, and decides as owner. Returns true when
  /// local ejection changed.
  bool Tick(MonoTime now, WallTime wall_now);

  /// The operator gives up. Returns false when the rollout has ended.
  bool Abort(WallTime wall_now);

  /// The operator hurries. Returns false when the rollout has ended.
  bool Hurry();

  const RolloutRecord& record() const { return record_; }
  const PoolSpec& pool() const { return options_.pool; }
  bool ejected() const { return ejected_until_.has_value(); }

  /// State for the dump.
  boost::json::object Dump() const;

 private:
  bool IsOwner() const { return tree_.owner() == options_.host; }
  bool HasEnded() const { return record_.stage >= RolloutStage::kDone; }
  bool MayBegin(MonoTime now) const;
  WallTime OrderedAt() const;
  WallTime CompleteBy() const;
  Milliseconds Bake() const;
  std::uint32_t SlotsPerTarget() const;
  void Restart(MonoTime now);
  bool JudgeOwn(MonoTime now, WallTime wall_now);
  std::unique_ptr<VersionJudge> MakeJudge(double false_alarm,
                                          WallTime wall_now) const;
  void JudgeSum(MonoTime now, WallTime wall_now);
  void SendSum();
  EvidenceBlock BlockOf(std::vector<EvidenceCell> cells, MonoTime now) const;
  void Decide(MonoTime now, WallTime wall_now);
  bool DecideEnd(MonoTime now, WallTime wall_now);
  RolloutReason LastDoubt() const;
  void DecidePending(MonoTime now, WallTime wall_now);
  void DecideCanary(MonoTime now, WallTime wall_now);
  void DecideRamp(MonoTime now, WallTime wall_now);
  void DecideBake(WallTime wall_now);
  RampState StateOf(MonoTime now) const;
  void Widen(std::uint32_t share_ppm, MonoTime now, WallTime wall_now);
  void RollBack(RolloutReason reason, WallTime wall_now);
  void Enter(RolloutEvent event, RolloutRecord next, WallTime wall_now);
  void Publish(const RolloutRecord& next);
  std::vector<RouteWeight> Weights() const;
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
  MonoTime seen_at_{};       ///< first tick of this rollout here
  WallTime seen_at_wall_{};  ///< the same
  MonoTime block_end_{};
  MonoTime owned_since_{};
  MonoTime last_step_{};
  std::optional<MonoTime> no_targets_since_;
  std::optional<MonoTime> ejected_until_;
  std::optional<WallTime> canary_since_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROLLOUT_TRACKER_H_

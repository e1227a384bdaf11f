#include "core/rollout/rollout_tracker.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <utility>

#include "core/base/wall_time_text.h"
#include "core/rollout/rollout_view.h"

namespace camphor {
namespace {

// A host judges alone on far less than all requests: it must be surer.
constexpr double kLocalFalseAlarm = 1e-9;

bool IsWidening(RolloutStage stage) {
  return stage > RolloutStage::kPending && stage < RolloutStage::kDone;
}

}  // namespace

RolloutTracker::RolloutTracker(Options options)
    : options_(std::move(options)), record_{.id = options_.id} {
  assert(options_.pool.rollout);
}

void RolloutTracker::SetTree(EvidenceTree tree) {
  const bool owned = IsOwner();
  tree_ = std::move(tree);
  // A new owner starts to judge anew; it knows the stage from the record.
  if (owned != IsOwner()) judge_.reset();
}

void RolloutTracker::SetTargets(
    RolloutTargets targets, const std::function<bool(const HostId&)>& is_lost) {
  // What a target of a dead host did is no word on its version.
  for (const auto* version : {&targets_.old_version, &targets_.new_version}) {
    for (const auto& [target, host] : *version) {
      if (!is_lost(host)) continue;
      if (judge_) judge_->ForgetTarget(target);
      if (local_judge_) local_judge_->ForgetTarget(target);
    }
  }
  targets_ = std::move(targets);
}

void RolloutTracker::OnRecord(const RolloutRecord& record) {
  if (record.id != options_.id) return;
  const RolloutRecord merged = RolloutRecord::Merge(record_, record);
  if (merged == record_) return;
  // Another owner's step counts as a step of this one.
  if (merged.share_ppm != record_.share_ppm && last_tick_) {
    last_step_ = *last_tick_;
  }
  record_ = merged;
  machine_.Adopt(record_.stage);
}

void RolloutTracker::OnEvidence(const EvidenceReport& report) {
  if (!HasEnded()) collector_.AddReport(report);
}

bool RolloutTracker::Tick(MonoTime now, WallTime wall_now) {
  const std::optional<MonoTime> last = std::exchange(last_tick_, now);
  if (!last) {
    seen_at_ = now;
    seen_at_wall_ = wall_now;
  }
  if (!last || now - *last > options_.settings.longest_gap) Restart(now);
  if (HasEnded()) {
    collector_.Clear();
    return false;
  }
  if (now < block_end_) return false;
  block_end_ = now + options_.settings.evaluation_interval;
  const bool changed = JudgeOwn(now, wall_now);
  if (IsOwner()) {
    JudgeSum(now, wall_now);
  } else {
    SendSum();
  }
  return changed;
}

void RolloutTracker::Restart(MonoTime now) {
  // What was gathered before a pause no longer tells how things stand.
  collector_.Clear();
  judge_.reset();
  local_judge_.reset();
  block_end_ = now + options_.settings.evaluation_interval;
  last_step_ = now;
  no_targets_since_.reset();
}

bool RolloutTracker::JudgeOwn(MonoTime now, WallTime wall_now) {
  if (!local_judge_) {
    const auto& make = options_.settings.make_local_judge;
    local_judge_ = make ? make() : MakeJudge(kLocalFalseAlarm, wall_now);
  }
  local_judge_->AddBlock(BlockOf(collector_.TakeOwn(), now));
  if (ejected_until_) {
    if (now < *ejected_until_) return false;
    // The owner saw too little against the version: try it again.
    ejected_until_.reset();
    local_judge_.reset();
    return true;
  }
  if (!IsWidening(record_.stage) || local_judge_->evidence() < 1) return false;
  ejected_until_ = now + options_.settings.ejection;
  return true;
}

std::unique_ptr<VersionJudge> RolloutTracker::MakeJudge(
    double false_alarm, WallTime wall_now) const {
  SequentialJudge::Options options = options_.settings.judge;
  options.false_alarm = false_alarm;
  // A cold start must not take up the time that there is to judge.
  const WallTime start =
      record_.stage == RolloutStage::kPending ? wall_now : record_.stage_since;
  const auto allowed = CompleteBy() - start;
  const auto part = std::chrono::duration_cast<Milliseconds>(
      allowed * options_.settings.cold_start_part);
  options.comparison.cold_start =
      std::clamp<Milliseconds>(part, options_.settings.shortest_cold_start,
                               options.comparison.cold_start);
  return std::make_unique<SequentialJudge>(options);
}

void RolloutTracker::JudgeSum(MonoTime now, WallTime wall_now) {
  if (!judge_) {
    const auto& make = options_.settings.make_judge;
    judge_ = make ? make()
                  : MakeJudge(options_.settings.judge.false_alarm, wall_now);
    owned_since_ = now;
  }
  std::uint32_t hosts = 0;
  const EvidenceBlock block = BlockOf(collector_.TakeSummed(hosts), now);
  for (const EvidenceCell& cell : block.cells) {
    route_requests_[cell.route] += static_cast<double>(cell.requests);
  }
  judge_->AddBlock(block);
  Decide(now, wall_now);
}

void RolloutTracker::SendSum() {
  EvidenceReport report{.rollout = options_.id,
                        .reporter = options_.host,
                        .incarnation = options_.incarnation};
  report.cells = collector_.TakeSummed(report.hosts);
  const std::optional<HostId> parent = tree_.ParentOf(options_.host);
  if (report.cells.empty() || !parent || !options_.send_evidence) return;
  report.period = ++period_;
  options_.send_evidence(*parent, report);
}

EvidenceBlock RolloutTracker::BlockOf(std::vector<EvidenceCell> cells,
                                      MonoTime now) const {
  const std::size_t all = targets_.new_version.size();
  const std::size_t chosen =
      record_.canary_targets == 0
          ? all
          : std::min<std::size_t>(record_.canary_targets, all);
  return {.old_version = options_.pool.version,
          .new_version = options_.pool.rollout->version,
          .end = now,
          .new_targets = chosen,
          .slots = SlotsPerTarget(),
          .cells = std::move(cells)};
}

void RolloutTracker::Decide(MonoTime now, WallTime wall_now) {
  if (DecideEnd(now, wall_now)) return;
  // A new owner first gathers evidence and merges what others know.
  if (now - owned_since_ < options_.settings.owner_warmup) return;
  switch (record_.stage) {
    case RolloutStage::kPending:
      return DecidePending(now, wall_now);
    case RolloutStage::kCanary:
      return DecideCanary(now, wall_now);
    case RolloutStage::kRamp:
      return DecideRamp(now, wall_now);
    case RolloutStage::kBake:
      return DecideBake(wall_now);
    default:
      return;
  }
}

bool RolloutTracker::DecideEnd(MonoTime now, WallTime wall_now) {
  if (IsWidening(record_.stage)) {
    if (std::optional<RolloutReason> reason = judge_->Condemnation()) {
      RollBack(std::move(*reason), wall_now);
      return true;
    }
  }
  // The time to wait for more evidence is over: less of it decides.
  const bool late = wall_now >= CompleteBy();
  const bool out_of_time =
      record_.stage == RolloutStage::kBake
          ? options_.settings.doubt_ends_bake ||
                wall_now >= record_.stage_since + 2 * Bake()
          : IsWidening(record_.stage) &&
                !HasTimeToWait(options_.settings.ramp, StateOf(now), wall_now);
  if (out_of_time && judge_->evidence() >= options_.settings.last_doubt) {
    RollBack(LastDoubt(), wall_now);
    return true;
  }
  if (!targets_.new_version.empty()) {
    no_targets_since_.reset();
    return false;
  }
  if (!no_targets_since_) no_targets_since_ = now;
  const bool gone = now - *no_targets_since_ >= options_.settings.no_targets;
  if (!gone || (record_.stage == RolloutStage::kPending && !late)) return false;
  RollBack({.signal = "targets", .sentence = "the new version has no targets"},
           wall_now);
  return true;
}

RolloutReason RolloutTracker::LastDoubt() const {
  RolloutReason reason = judge_->Strongest();
  reason.sentence =
      "no time was left to settle the doubt that " + reason.sentence;
  return reason;
}

bool RolloutTracker::MayBegin(MonoTime now) const {
  // A beginning that is on record can be taken up again after a loss of all
  // memory; one that cannot be recorded does not wait for ever.
  if (options_.pool.rollout->allowed.count() == 0) return true;
  return record_.ordered_at > WallTime{} ||
         now - seen_at_ >= options_.settings.confirmation;
}

WallTime RolloutTracker::OrderedAt() const {
  return record_.ordered_at > WallTime{} ? record_.ordered_at : seen_at_wall_;
}

WallTime RolloutTracker::CompleteBy() const {
  const RolloutSpec& order = *options_.pool.rollout;
  if (order.allowed.count() == 0) return order.complete_by;
  return OrderedAt() + std::chrono::duration_cast<Milliseconds>(
                           order.allowed * options_.settings.full_share_part);
}

Milliseconds RolloutTracker::Bake() const {
  const RolloutSpec& order = *options_.pool.rollout;
  if (order.allowed.count() == 0) return order.bake;
  return std::chrono::duration_cast<Milliseconds>(order.allowed *
                                                  options_.settings.bake_part);
}

std::uint32_t RolloutTracker::SlotsPerTarget() const {
  const auto targets = static_cast<std::uint32_t>(targets_.new_version.size());
  if (targets == 0) return options_.pool.slots_per_target;
  return std::clamp(targets_.new_slots / targets, 1U,
                    options_.pool.slots_per_target);
}

void RolloutTracker::DecidePending(MonoTime now, WallTime wall_now) {
  if (targets_.new_version.empty() || !MayBegin(now)) return;
  RolloutRecord next = record_;
  next.share_ppm = CanaryShareFor(options_.settings.ramp, RequestRate(now));
  next.route_shares =
      RouteSharesFor(options_.settings.ramp, next.share_ppm, Weights());
  next.canary_targets = CanaryTargetsFor(options_.settings.ramp, next.share_ppm,
                                         targets_.old_version.size(),
                                         targets_.new_version.size());
  last_step_ = now;
  Enter(RolloutEvent::kTargetsReady, std::move(next), wall_now);
}

void RolloutTracker::DecideCanary(MonoTime now, WallTime wall_now) {
  if (CanaryPassed(options_.settings.ramp, StateOf(now), wall_now)) {
    last_step_ = now;
    Enter(RolloutEvent::kCanaryPassed, record_, wall_now);
    return;
  }
  // Traffic may come only after the start.
  if (!record_.route_shares.empty()) return;
  RolloutRecord next = record_;
  next.route_shares =
      RouteSharesFor(options_.settings.ramp, next.share_ppm, Weights());
  if (!next.route_shares.empty()) Publish(next);
}

void RolloutTracker::DecideRamp(MonoTime now, WallTime wall_now) {
  const std::optional<std::uint32_t> share =
      NextShare(options_.settings.ramp, StateOf(now), wall_now);
  if (share) Widen(*share, now, wall_now);
}

void RolloutTracker::DecideBake(WallTime wall_now) {
  const auto spent = wall_now - record_.stage_since;
  const Milliseconds bake = Bake();
  if (spent < bake) return;
  // A doubt is watched on, for as long again at most.
  const bool doubt = judge_->evidence() >= options_.settings.ramp.doubt;
  if (doubt && spent <= 2 * bake) return;
  RolloutRecord next = record_;
  next.share_ppm = kWholeShare;
  next.route_shares.clear();
  // What spoke most against it did not suffice.
  next.reason = judge_->Strongest();
  next.reason.signal = "evidence";
  Enter(RolloutEvent::kBakePassed, std::move(next), wall_now);
}

RampState RolloutTracker::StateOf(MonoTime now) const {
  const auto since_step =
      std::chrono::duration_cast<Milliseconds>(now - last_step_);
  return {.stage = record_.stage,
          .share_ppm = record_.share_ppm,
          .stage_since = record_.stage_since,
          .started = canary_since_.value_or(record_.stage_since),
          .complete_by = CompleteBy(),
          .since_step = since_step,
          .evidence = judge_->evidence(),
          .hurry = record_.hurry};
}

void RolloutTracker::Widen(std::uint32_t share_ppm, MonoTime now,
                           WallTime wall_now) {
  const RampOptions& ramp = options_.settings.ramp;
  RolloutRecord next = record_;
  next.share_ppm = std::max(share_ppm, record_.share_ppm);
  next.canary_targets =
      CanaryTargetsFor(ramp, share_ppm, targets_.old_version.size(),
                       targets_.new_version.size());
  next.route_shares = RouteSharesFor(ramp, share_ppm, Weights());
  last_step_ = now;
  if (share_ppm + ramp.control_share_ppm < kWholeShare) {
    Publish(next);
    return;
  }
  Enter(RolloutEvent::kFullShare, std::move(next), wall_now);
}

void RolloutTracker::RollBack(RolloutReason reason, WallTime wall_now) {
  RolloutRecord next = record_;
  next.share_ppm = 0;
  next.route_shares.clear();
  next.canary_targets = 0;
  next.reason = std::move(reason);
  Enter(RolloutEvent::kCondemned, std::move(next), wall_now);
}

void RolloutTracker::Enter(RolloutEvent event, RolloutRecord next,
                           WallTime wall_now) {
  if (!machine_.Process(event)) return;
  next.stage = machine_.stage();
  next.stage_since = wall_now;
  if (next.stage == RolloutStage::kCanary) canary_since_ = wall_now;
  Publish(next);
}

void RolloutTracker::Publish(const RolloutRecord& next) {
  record_ = RolloutRecord::Merge(record_, next);
  // Last, since the replicated state may call back with the merged record.
  const RolloutRecord published = record_;
  if (options_.publish) options_.publish(published);
}

double RolloutTracker::RequestRate(MonoTime now) const {
  double all = 0;
  for (const auto& [route, requests] : route_requests_) all += requests;
  const std::chrono::duration<double> span = now - owned_since_;
  return span.count() > 0 ? all / span.count() : 0;
}

std::vector<RouteWeight> RolloutTracker::Weights() const {
  double all = 0;
  for (const auto& [route, requests] : route_requests_) all += requests;
  std::vector<RouteWeight> weights;
  for (const auto& [route, requests] : route_requests_) {
    if (requests > 0) {
      weights.push_back({.route = route, .weight = requests / all});
    }
  }
  return weights;
}

bool RolloutTracker::Abort(WallTime wall_now) {
  if (HasEnded()) return false;
  RollBack({.signal = "operator", .sentence = "the operator aborted it"},
           wall_now);
  return true;
}

bool RolloutTracker::Hurry() {
  if (HasEnded()) return false;
  RolloutRecord next = record_;
  next.hurry = true;
  Publish(next);
  return true;
}

boost::json::object RolloutTracker::Dump() const {
  boost::json::object dump = ViewOf(record_);
  dump["pool"] = options_.pool.name.value();
  dump["complete_by"] = FormatWallTime(CompleteBy());
  dump["owner"] = tree_.owner().value_or(HostId()).value();
  dump["old_targets"] = targets_.old_version.size();
  dump["new_targets"] = targets_.new_version.size();
  dump["locally_ejected"] = ejected();
  const VersionJudge* judge = judge_ ? judge_.get() : local_judge_.get();
  dump["evidence_of"] = judge_ ? "all hosts" : "this host";
  if (judge != nullptr) dump["evidence"] = ViewOf(judge->View());
  return dump;
}

}  // namespace camphor

#include "core/rollout/rollout_tracker.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <utility>

#include "core/base/wall_time_text.h"
#include "core/rollout/rollout_view.h"

namespace camphor {
namespace {

// A single host decides on a small part of the requests, so it needs a lower
// false-alarm probability than the owner.
constexpr double kLocalFalseAlarmProbability = 1e-9;

constexpr Seconds kEvaluationReportPeriod{1};

bool IsInProgress(RolloutStage stage) {
  return stage > RolloutStage::kPending && stage < RolloutStage::kDone;
}

}  // namespace

RolloutTracker::RolloutTracker(Options options)
    : options_(std::move(options)), record_{.id = options_.id} {
  assert(options_.pool.rollout);
}

void RolloutTracker::SetTree(EvidenceTree tree) {
  const bool was_owner = IsOwner();
  tree_ = std::move(tree);
  // A new owner starts with fresh evidence; the stage is in the record.
  if (was_owner != IsOwner()) judge_.reset();
}

void RolloutTracker::SetTargets(
    RolloutTargets targets, const std::function<bool(const HostId&)>& is_lost) {
  // Failures of a dead host's targets are not attributable to the version.
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
  // Count a step of another owner as a step of this host, so that the next
  // one is not taken too early.
  if (merged.share_ppm != record_.share_ppm && last_tick_) {
    last_step_ = *last_tick_;
  }
  const bool new_stage = merged.stage != record_.stage;
  const bool new_order_time = merged.ordered_at != record_.ordered_at;
  record_ = merged;
  machine_.Adopt(record_.stage);
  if (!last_tick_) return;
  if (new_stage) EnterStage();
  if (new_order_time) SetOrderTime();
}

void RolloutTracker::OnEvidence(const EvidenceReport& report) {
  if (!HasEnded()) collector_.AddReport(report);
}

bool RolloutTracker::Tick(MonoTime now, WallTime wall_now) {
  const std::optional<MonoTime> last = std::exchange(last_tick_, now);
  now_ = now;
  wall_now_ = wall_now;
  if (!last) OnFirstTick();
  if (!last || now - *last > options_.settings.max_tick_gap) ResetEvidence(now);
  if (HasEnded()) {
    collector_.Clear();
    return false;
  }
  if (now < block_end_) return false;
  block_end_ = now + options_.settings.evaluation_interval;
  const bool changed = EvaluateLocalEvidence(now);
  if (IsOwner()) {
    EvaluateTotalEvidence(now);
  } else {
    SendReport();
  }
  return changed;
}

void RolloutTracker::OnFirstTick() {
  first_tick_ = now_;
  // What happened before the first tick is known by calendar time only.
  stage_since_ = ToMonoTime(record_.stage_since);
  if (record_.stage > RolloutStage::kPending)
    options_.may_be_in_progress = true;
  SetOrderTime();
}

void RolloutTracker::SetOrderTime() {
  ordered_ = first_tick_;
  if (!options_.may_be_in_progress) return;
  const MonoTime earliest = first_tick_ - options_.pool.rollout->allowed;
  ordered_ = std::max(ToMonoTime(record_.ordered_at), earliest);
}

void RolloutTracker::EnterStage() {
  stage_since_ = now_;
  if (record_.stage == RolloutStage::kCanary) canary_since_ = now_;
}

MonoTime RolloutTracker::ToMonoTime(WallTime past) const {
  if (past == WallTime{}) return first_tick_;
  const auto age = std::max<Milliseconds>(wall_now_ - past, Milliseconds(0));
  return std::min(now_ - age, first_tick_);
}

void RolloutTracker::ResetEvidence(MonoTime now) {
  // Evidence from before a pause is out of date.
  collector_.Clear();
  judge_.reset();
  local_judge_.reset();
  block_end_ = now + options_.settings.evaluation_interval;
  last_step_ = now;
  no_targets_since_.reset();
}

bool RolloutTracker::EvaluateLocalEvidence(MonoTime now) {
  if (!local_judge_) {
    const auto& make = options_.settings.make_local_judge;
    local_judge_ = make ? make() : MakeJudge(kLocalFalseAlarmProbability);
  }
  local_judge_->AddBlock(MakeBlock(collector_.TakeLocalCells(), now));
  if (ejected_until_) {
    if (now < *ejected_until_) return false;
    // The owner has not rolled the version back, so end the ejection and try
    // the version again.
    ejected_until_.reset();
    local_judge_.reset();
    return true;
  }
  if (!IsInProgress(record_.stage) || local_judge_->evidence() < 1) {
    return false;
  }
  ejected_until_ = now + options_.settings.ejection_duration;
  return true;
}

std::unique_ptr<VersionJudge> RolloutTracker::MakeJudge(
    double false_alarm_probability) const {
  SequentialJudge::Options options = options_.settings.judge;
  options.false_alarm_probability = false_alarm_probability;
  // Limit the cold start to a fraction of the time available for evaluation.
  const MonoTime start =
      record_.stage == RolloutStage::kPending ? now_ : stage_since_;
  const auto allowed = Deadline() - start;
  const auto part = std::chrono::duration_cast<Milliseconds>(
      allowed * options_.settings.max_cold_start_fraction);
  options.comparison.cold_start = std::clamp<Milliseconds>(
      part, options_.settings.min_cold_start, options.comparison.cold_start);
  return std::make_unique<SequentialJudge>(options);
}

void RolloutTracker::EvaluateTotalEvidence(MonoTime now) {
  if (!judge_) {
    const auto& make = options_.settings.make_judge;
    judge_ = make ? make()
                  : MakeJudge(options_.settings.judge.false_alarm_probability);
    owned_since_ = now;
  }
  std::uint32_t hosts = 0;
  const EvidenceBlock block = MakeBlock(collector_.TakeTotalCells(hosts), now);
  for (const EvidenceCell& cell : block.cells) {
    route_requests_[cell.route] += static_cast<double>(cell.requests);
  }
  judge_->AddBlock(block);
  Decide(now);
  ReportEvaluation(hosts, now);
}

void RolloutTracker::ReportEvaluation(std::uint32_t hosts, MonoTime now) {
  if (!options_.evaluated || now < next_evaluation_report_) return;
  next_evaluation_report_ = now + kEvaluationReportPeriod;
  options_.evaluated(
      {.id = options_.id,
       .stage = record_.stage,
       .share_ppm = record_.share_ppm,
       .hosts = hosts,
       .evidence = judge_->evidence(),
       .strongest = judge_->StrongestReason(),
       .time_left = std::chrono::duration_cast<Milliseconds>(Deadline() - now),
       .in_stage_for =
           std::chrono::duration_cast<Milliseconds>(now - stage_since_)});
}

void RolloutTracker::SendReport() {
  EvidenceReport report{.rollout = options_.id,
                        .reporter = options_.host,
                        .incarnation = options_.incarnation};
  report.cells = collector_.TakeTotalCells(report.hosts);
  const std::optional<HostId> parent = tree_.FindParent(options_.host);
  if (report.cells.empty() || !parent || !options_.send_evidence) return;
  report.period = ++period_;
  options_.send_evidence(*parent, report);
}

EvidenceBlock RolloutTracker::MakeBlock(std::vector<EvidenceCell> cells,
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

void RolloutTracker::Decide(MonoTime now) {
  if (DecideEnd(now)) return;
  // A new owner first collects evidence and merges the records of others.
  if (now - owned_since_ < options_.settings.owner_warmup) return;
  switch (record_.stage) {
    case RolloutStage::kPending:
      return DecidePending(now);
    case RolloutStage::kCanary:
      return DecideCanary(now);
    case RolloutStage::kRamp:
      return DecideRamp(now);
    case RolloutStage::kBake:
      return DecideBake(now);
    default:
      return;
  }
}

bool RolloutTracker::DecideEnd(MonoTime now) {
  if (IsInProgress(record_.stage)) {
    if (std::optional<RolloutReason> reason = judge_->RejectionReason()) {
      RollBack(std::move(*reason));
      return true;
    }
  }
  // Without time to collect more evidence, the lower final threshold applies.
  const bool deadline_passed = now >= Deadline();
  const bool out_of_time =
      record_.stage == RolloutStage::kBake
          ? options_.settings.final_threshold_during_bake ||
                now >= stage_since_ + 2 * BakeDuration()
          : IsInProgress(record_.stage) &&
                !HasTimeToHold(options_.settings.ramp, MakeRampState(now), now);
  if (out_of_time && judge_->evidence() >= options_.settings.final_threshold) {
    RollBack(FinalThresholdReason());
    return true;
  }
  if (!targets_.new_version.empty()) {
    no_targets_since_.reset();
    return false;
  }
  if (!no_targets_since_) no_targets_since_ = now;
  const bool timed_out =
      now - *no_targets_since_ >= options_.settings.no_targets_timeout;
  if (!timed_out ||
      (record_.stage == RolloutStage::kPending && !deadline_passed)) {
    return false;
  }
  RollBack({.signal = "targets", .sentence = "the new version has no targets"});
  return true;
}

RolloutReason RolloutTracker::FinalThresholdReason() const {
  RolloutReason reason = judge_->StrongestReason();
  reason.sentence =
      "no time was left to settle the doubt that " + reason.sentence;
  return reason;
}

bool RolloutTracker::CanStart(MonoTime now) const {
  // If the start is recorded, the rollout can resume after all hosts have lost
  // their state. Start unrecorded if recording takes too long.
  if (options_.pool.rollout->allowed.count() == 0) return true;
  return record_.ordered_at > WallTime{} ||
         now - first_tick_ >= options_.settings.max_start_delay;
}

MonoTime RolloutTracker::Deadline() const {
  const RolloutSpec& order = *options_.pool.rollout;
  if (order.allowed.count() == 0) return now_ + (order.complete_by - wall_now_);
  return ordered_ + std::chrono::duration_cast<Milliseconds>(
                        order.allowed * options_.settings.full_share_fraction);
}

Milliseconds RolloutTracker::BakeDuration() const {
  const RolloutSpec& order = *options_.pool.rollout;
  if (order.allowed.count() == 0) return order.bake;
  return std::chrono::duration_cast<Milliseconds>(
      order.allowed * options_.settings.bake_fraction);
}

std::uint32_t RolloutTracker::SlotsPerTarget() const {
  const auto targets = static_cast<std::uint32_t>(targets_.new_version.size());
  if (targets == 0) return options_.pool.slots_per_target;
  return std::clamp(targets_.new_slots / targets, 1U,
                    options_.pool.slots_per_target);
}

void RolloutTracker::DecidePending(MonoTime now) {
  if (targets_.new_version.empty() || !CanStart(now)) return;
  RolloutRecord next = record_;
  next.share_ppm = ComputeCanaryShare(options_.settings.ramp, RequestRate(now));
  next.route_shares = ComputeRouteShares(options_.settings.ramp, next.share_ppm,
                                         RouteWeights());
  next.canary_targets = ComputeCanaryTargetCount(
      options_.settings.ramp, next.share_ppm, targets_.old_version.size(),
      targets_.new_version.size());
  last_step_ = now;
  Transition(RolloutEvent::kTargetsReady, std::move(next));
}

void RolloutTracker::DecideCanary(MonoTime now) {
  if (IsCanaryComplete(options_.settings.ramp, MakeRampState(now), now)) {
    last_step_ = now;
    Transition(RolloutEvent::kCanaryPassed, record_);
    return;
  }
  // The routes may receive their first requests after the canary has started.
  if (!record_.route_shares.empty()) return;
  RolloutRecord next = record_;
  next.route_shares = ComputeRouteShares(options_.settings.ramp, next.share_ppm,
                                         RouteWeights());
  if (!next.route_shares.empty()) Publish(next);
}

void RolloutTracker::DecideRamp(MonoTime now) {
  const std::optional<std::uint32_t> share =
      NextShare(options_.settings.ramp, MakeRampState(now), now);
  if (share) Widen(*share, now);
}

void RolloutTracker::DecideBake(MonoTime now) {
  const auto elapsed = now - stage_since_;
  const Milliseconds bake = BakeDuration();
  if (elapsed < bake) return;
  // While the evidence reaches the hold threshold, extend the bake up to twice
  // its duration.
  const bool hold = judge_->evidence() >= options_.settings.ramp.hold_threshold;
  if (hold && elapsed <= 2 * bake) return;
  RolloutRecord next = record_;
  next.share_ppm = kAllTrafficPpm;
  next.route_shares.clear();
  // Record the strongest evidence, which did not reach the threshold.
  next.reason = judge_->StrongestReason();
  next.reason.signal = "evidence";
  Transition(RolloutEvent::kBakePassed, std::move(next));
}

RampState RolloutTracker::MakeRampState(MonoTime now) const {
  const auto since_step =
      std::chrono::duration_cast<Milliseconds>(now - last_step_);
  return {.stage = record_.stage,
          .share_ppm = record_.share_ppm,
          .stage_since = stage_since_,
          .canary_since = canary_since_.value_or(stage_since_),
          .complete_by = Deadline(),
          .since_step = since_step,
          .evidence = judge_->evidence(),
          .hurry = record_.hurry};
}

void RolloutTracker::Widen(std::uint32_t share_ppm, MonoTime now) {
  const RampOptions& ramp = options_.settings.ramp;
  RolloutRecord next = record_;
  next.share_ppm = std::max(share_ppm, record_.share_ppm);
  next.canary_targets =
      ComputeCanaryTargetCount(ramp, share_ppm, targets_.old_version.size(),
                               targets_.new_version.size());
  next.route_shares = ComputeRouteShares(ramp, share_ppm, RouteWeights());
  last_step_ = now;
  if (share_ppm + ramp.control_share_ppm < kAllTrafficPpm) {
    Publish(next);
    return;
  }
  Transition(RolloutEvent::kFullShareReached, std::move(next));
}

void RolloutTracker::RollBack(RolloutReason reason) {
  RolloutRecord next = record_;
  next.share_ppm = 0;
  next.route_shares.clear();
  next.canary_targets = 0;
  next.reason = std::move(reason);
  Transition(RolloutEvent::kRollBack, std::move(next));
}

void RolloutTracker::Transition(RolloutEvent event, RolloutRecord next) {
  if (!machine_.Process(event)) return;
  next.stage = machine_.stage();
  next.stage_since = wall_now_;
  Publish(next);
}

void RolloutTracker::Publish(const RolloutRecord& next) {
  const RolloutStage stage = record_.stage;
  record_ = RolloutRecord::Merge(record_, next);
  if (record_.stage != stage) EnterStage();
  // Publish last: the replicated state may call back with the merged record.
  const RolloutRecord published = record_;
  if (options_.publish) options_.publish(published);
}

double RolloutTracker::RequestRate(MonoTime now) const {
  double all = 0;
  for (const auto& [route, requests] : route_requests_) all += requests;
  const std::chrono::duration<double> span = now - owned_since_;
  return span.count() > 0 ? all / span.count() : 0;
}

std::vector<RouteWeight> RolloutTracker::RouteWeights() const {
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
  wall_now_ = wall_now;
  RollBack({.signal = "operator", .sentence = "the operator aborted it"});
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
  boost::json::object dump = RecordToJson(record_);
  dump["pool"] = options_.pool.name.value();
  dump["complete_by"] = FormatWallTime(
      wall_now_ + std::chrono::duration_cast<Milliseconds>(Deadline() - now_));
  dump["owner"] = tree_.owner().value_or(HostId()).value();
  dump["old_targets"] = targets_.old_version.size();
  dump["new_targets"] = targets_.new_version.size();
  dump["locally_ejected"] = ejected();
  const VersionJudge* judge = judge_ ? judge_.get() : local_judge_.get();
  dump["evidence_of"] = judge_ ? "all hosts" : "this host";
  if (judge != nullptr) dump["evidence"] = EvidenceToJson(judge->View());
  return dump;
}

}  // namespace camphor

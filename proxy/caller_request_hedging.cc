#include <algorithm>
#include <chrono>
#include <utility>

#include "proxy/caller_request.h"
#include "proxy/header_rules.h"

namespace camphor {
namespace {

using Counter = ProxyMetrics::Counter;
using Kind = HedgedAttempt::Kind;

}  // namespace

std::optional<HedgePolicy::Delays> CallerRequest::HedgeDelays() const {
  if (!context_.hedges.enabled(rule().hedge_share) || !MayHedgeNow() ||
      HedgePolicy::CheckRequest(HedgeCandidate()) !=
          HedgePolicy::Verdict::kAllowed)
    return std::nullopt;
  const MonoTime now = std::chrono::steady_clock::now();
  const Milliseconds objective = rule().target_latency;
  HedgePolicy::Outlook outlook{
      .relative_latency =
          context_.balancer.RelativeLatency(target().info.id, now)};
  if (objective.count() > 0) {
    const MonoTime end =
        std::min(options_.arrival + objective, options_.control->deadline());
    outlook.time_left = std::chrono::duration_cast<Microseconds>(end - now);
  }
  const std::optional<HedgePolicy::Delays> delays =
      context_.hedges.ChooseDelays(rule().name, rule().hedge_share, outlook);
  if (!delays || delays->hedge >= options_.control->RemainingTime())
    return std::nullopt;
  return delays;
}

HedgePolicy::Candidate CallerRequest::HedgeCandidate() const {
  return {.attempt = HedgeKey(placement_),
          .repeatable = rule().repeatable && !rule().at_most_once &&
                        options_.body->prefix_is_complete(),
          .target_died = target_deaths_ > 0 ||
                         routing_->suspects.contains(fingerprint_) ||
                         routing_->poison.contains(fingerprint_),
          .targets = attempt_,
          .max_targets = MaxAttempts()};
}

bool CallerRequest::MayHedgeNow() const {
  // A request whose first attempt has failed is retried instead.
  if (attempt_ != 1 || !options_.charge_hedge || context_.draining)
    return false;
  // During a rollout, the hedges would shift the shares of the versions, and
  // the cancelled attempts would hide that a version is slow.
  const PoolRouting& pool = routing_->pools[placement_.pool];
  return pool.groups.size() == 1 && pool.rollout == RolloutId{};
}

asio::awaitable<std::optional<ProxyError>> CallerRequest::HedgedAttemptAfter(
    const HedgePolicy::Delays& delays) {
  RecordSent();
  hedge_is_early_ = delays.hedge < delays.slow;
  sent_.front() = {.placement = placement_, .at = sent_at_};
  HedgedAttempt attempt({.executor = context_.io->get_executor(),
                         .control = options_.control,
                         .hedge_at = sent_at_ + delays.hedge,
                         .slow_at = sent_at_ + delays.slow,
                         .make_run =
                             [this](Kind kind, RequestControl& control) {
                               return kind == Kind::kPrimary
                                          ? MakeRun(control)
                                          : MakeHedge(control);
                             },
                         .on_slow = [this] { OnSlow(); },
                         .on_begun =
                             [this](Kind kind, const RequestRun& run,
                                    const HedgedAttempt::Outcome& outcome) {
                               OnAttemptBegun(kind, run, outcome);
                             },
                         .on_lost =
                             [this](Kind kind, std::optional<unsigned> status) {
                               OnAttemptLost(kind, status);
                             }});
  const std::optional<ProxyError> error = co_await attempt.Begin();
  if (error) {
    co_await attempt.Join();
    has_hedge_ = false;
    co_return error;
  }
  SelectAttempt(attempt.winner());
  if (attempt.winner() == Kind::kHedge)
    context_.metrics.Count(Counter::kHedgesWon);
  RequestRun& run = attempt.run();
  const unsigned status = run.exchange().response().result_int();
  const Exchange::RelayResult relayed = co_await Relay(run.exchange());
  OnRelayed(relayed, status);
  if (complete_) co_await run.exchange().FinishBody();
  co_await run.End(relayed == Exchange::RelayResult::kTruncated);
  co_await attempt.Join();
  co_return std::nullopt;
}

std::unique_ptr<RequestRun> CallerRequest::MakeHedge(RequestControl& control) {
  const std::optional<Placement> placement =
      PlaceHedge(std::chrono::steady_clock::now());
  if (!placement) {
    context_.metrics.Count(Counter::kHedgesDenied);
    return nullptr;
  }
  placement_ = *placement;
  tried_.push_back(placement_);
  ++attempt_;
  has_hedge_ = true;
  // A retry after a hedge is a third arrival, so it needs a retry token.
  may_have_reached_target_ = true;
  context_.metrics.Count(Counter::kHedgesSent);
  RecordSent();
  sent_.back() = {.placement = placement_, .at = sent_at_};
  return MakeRun(control);
}

std::optional<Placement> CallerRequest::PlaceHedge(MonoTime now) {
  // Indices into the routing are valid only while it is unchanged. The route,
  // the poison list and the suspects may have changed with it.
  if (context_.Routing() != routing_ || placement_routing_ != routing_ ||
      !MayHedgeNow())
    return std::nullopt;
  const std::optional<Placement> placement =
      context_.balancer.ChooseWithRoom(route_, share_, tried_, now);
  if (!placement || placement->pool != placement_.pool) return std::nullopt;
  const PowerOfTwoBalancer::PoolRoom room =
      context_.balancer.CountRoom(route_, share_, now);
  const MonoTime deadline = options_.control->deadline();
  const MonoTime wanted = options_.arrival + rule().target_latency;
  const bool has_objective = rule().target_latency.count() > 0;
  const MonoTime end = has_objective ? std::min(wanted, deadline) : deadline;
  HedgePolicy::Candidate candidate = HedgeCandidate();
  candidate.usable_targets = room.usable;
  candidate.targets_with_room = room.with_room;
  candidate.time_left = std::chrono::duration_cast<Microseconds>(end - now);
  candidate.early = hedge_is_early_;
  if (hedge_is_early_)
    candidate.relative_latency =
        context_.balancer.RelativeLatency(target().info.id, now) /
        context_.balancer.RelativeLatency(TargetAt(*placement).info.id, now);
  const HedgePolicy::Verdict verdict =
      context_.hedges.Decide(candidate, context_.retries, now);
  if (verdict != HedgePolicy::Verdict::kAllowed || !options_.charge_hedge())
    return std::nullopt;
  return placement;
}

void CallerRequest::SelectAttempt(Kind kind) {
  const Sent& sent = sent_[static_cast<std::size_t>(kind)];
  placement_ = sent.placement;
  sent_at_ = sent.at;
}

void CallerRequest::OnAttemptBegun(Kind kind, const RequestRun& run,
                                   const HedgedAttempt::Outcome& outcome) {
  SelectAttempt(kind);
  OnBegun(run);
  if (outcome.error) {
    // The first attempt may be abandoned for a retry again.
    if (kind == Kind::kHedge) has_hedge_ = false;
    OnError(*outcome.error);
  } else if (kind == Kind::kPrimary && !IsServerError(outcome.status)) {
    LearnLatency();
  }
}

void CallerRequest::OnAttemptLost(Kind kind, std::optional<unsigned> status) {
  SelectAttempt(kind);
  if (status) {
    ReportSample(RequestOutcome::kError);
    return;
  }
  if (options_.control->RemainingTime().count() == 0) {
    ReportSample(RequestOutcome::kTimeout);
    return;
  }
  if (kind == Kind::kPrimary) LearnLatency(true);
  // Not a sample: that it was slower shows neither an error of its target nor
  // a fault of its version.
  const MonoTime now = std::chrono::steady_clock::now();
  RecordOutcome(RequestOutcome::kCancelled,
                std::chrono::duration_cast<Microseconds>(now - sent_at_), now);
}

void CallerRequest::OnSlow() {
  counted_as_slow_ = true;
  // placement_ may be that of an early hedge.
  context_.hedges.OnDelayPassed(HedgeKey(sent_.front().placement),
                                std::chrono::steady_clock::now());
}

void CallerRequest::LearnLatency(bool cancelled) {
  if (!context_.hedges.enabled(rule().hedge_share) || !rule().repeatable ||
      !options_.body->prefix_is_complete())
    return;
  const MonoTime now = std::chrono::steady_clock::now();
  context_.hedges.OnEnded(
      HedgeKey(placement_),
      std::chrono::duration_cast<Microseconds>(now - sent_at_),
      counted_as_slow_ || cancelled, now);
}

HedgePolicy::Attempt CallerRequest::HedgeKey(const Placement& placement) const {
  return {.route = &rule().name,
          .pool = &routing_->pools[placement.pool].spec.name,
          .target = &TargetAt(placement).info.id,
          .share = rule().hedge_share};
}

}  // namespace camphor

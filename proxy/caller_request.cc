#include "proxy/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "proxy/attempt_rules.h"
#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/local_run.h"
#include "proxy/remote_run.h"

namespace camphor {
namespace {

using Counter = ProxyMetrics::Counter;

constexpr Microseconds kMinTimeForRetry{2000};
constexpr std::uint32_t kMaxTargetDeaths = 2;

/// A target is treated as unresponsive after this multiple of its usual
/// latency.
constexpr int kSilenceLatencyFactor = 8;

/// Returns true when the target may have received the request.
bool MayHaveReachedTarget(ProxyError error) {
  return !GetErrorTraits(error).not_run || error == ProxyError::kRefused;
}

}  // namespace

RouteQuery MakeRouteQuery(const http::request_header<>& header) {
  const std::string_view target(header.target().data(), header.target().size());
  const beast::string_view method = header.method_string();
  return {.host = HeaderValue(header, "Host"),
          .method = {method.data(), method.size()},
          .path = target.substr(0, target.find('?'))};
}

CallerRequest::CallerRequest(ProxyContext& context, Options options)
    : context_(context), options_(std::move(options)) {}

asio::awaitable<CallerRequest::Result> CallerRequest::Run() {
  header_ = *options_.header;
  RemoveHopByHopHeaders(header_);
  RemoveInternalHeaders(header_);
  const HeaderVocabulary& vocabulary = context_.options.vocabulary;
  if (!vocabulary.caller_pool.empty())
    header_.set(vocabulary.caller_pool, context_.options.caller_pool);
  if (context_.Routing()->teams) SetTeamHeader();
  ProxyError error = ProxyError::kNoTarget;
  while (Place()) {
    const std::optional<ProxyError> failed = co_await Attempt();
    if (!failed) co_return Result{.complete = complete_};
    error = *failed;
    if (!MayRetry(error)) break;
    Report(RequestDecision::Kind::kRetried, GetErrorTraits(error).reason, 0);
    if (!GetErrorTraits(error).not_run) unknown_outcome_error_ = error;
    context_.metrics.Count(Counter::kRetries);
  }
  if (target_deaths_ > 0) co_await WaitForDeathPropagation();
  co_return Refuse(error);
}

void CallerRequest::SetTeamHeader() {
  const HeaderVocabulary& vocabulary = context_.options.vocabulary;
  if (vocabulary.team_key.empty()) return;
  header_.erase(vocabulary.team_key);
  header_.erase(vocabulary.team);
  if (options_.team) header_.set(vocabulary.team, options_.team->name.value());
}

asio::awaitable<void> CallerRequest::WaitForDeathPropagation() {
  asio::steady_timer timer(*context_.io);
  timer.expires_after(
      std::min<Microseconds>(context_.options.limits.death_propagation_delay,
                             options_.control->RemainingTime()));
  const RequestControl::Scope scope(*options_.control,
                                    [&timer] { timer.cancel(); });
  if (options_.control->stopped() == RequestControl::Stop::kNone) {
    co_await timer.async_wait(kAsTuple);
  }
}

bool CallerRequest::Place() {
  EffectiveRoutingPtr routing = context_.Routing();
  if (routing != routing_) {
    // The configuration may have changed since the previous attempt.
    const std::optional<std::uint32_t> route =
        MatchRoute(*routing, MakeRouteQuery(*options_.header));
    if (!route) return false;
    routing_ = std::move(routing);
    route_ = *route;
    fingerprint_ = MakeFingerprint();
    share_ = context_.balancer.ChooseShare(route_);
    tried_.clear();
  }
  if (!std::exchange(counted_in_retry_budget_, true)) {
    context_.retries.OnRequest(CurrentPool());
    context_.hedges.OnRequest(CurrentPool(), rule().hedge_share);
  }
  const std::optional<Placement> placement = context_.balancer.Choose(
      route_, share_, tried_, std::chrono::steady_clock::now());
  if (!placement) return false;
  placement_routing_ = routing_;
  placement_ = *placement;
  tried_.push_back(placement_);
  ++attempt_;
  return true;
}

const RoutedTarget& CallerRequest::TargetAt(const Placement& placement) const {
  return placement_routing_->pools[placement.pool]
      .groups[placement.group]
      .targets[placement.target];
}

std::uint64_t CallerRequest::MakeFingerprint() const {
  const InboundBody& body = *options_.body;
  return RequestFingerprint({.route = rule().name.value(),
                             .caller = context_.options.caller_pool,
                             .header = *options_.header,
                             .body_prefix = body.prefix(),
                             .body_length = body.prefix_is_complete()
                                                ? std::nullopt
                                                : body.length()});
}

std::unique_ptr<RequestRun> CallerRequest::MakeRun(RequestControl& control) {
  PlacedRequest request{
      .header = header_,
      .control = &control,
      .body = options_.body,
      .urgency = MakeUrgency(rule(), options_.team.get(),
                             {.arrival = options_.arrival,
                              .deadline = options_.control->deadline(),
                              .now = std::chrono::steady_clock::now()}),
      .target = target().info.id,
      .fingerprint = fingerprint_,
      .suspect = target_deaths_ > 0,
      .attempt = attempt_};
  if (rule().at_most_once) {
    request.claim_key = HeaderValue(*options_.header, kIdempotencyKeyHeader);
  }
  if (rule().repeatable && !has_hedge_ &&
      attempt_ - reached_no_target_ < MaxAttempts()) {
    request.abandon_after = AbandonTimeout();
    request.may_abandon = [this] { return MayAbandon(); };
  }
  if (!target().local) {
    return std::make_unique<RemoteRun>(context_, std::move(request), target());
  }
  return std::make_unique<LocalRun>(context_, std::move(request));
}

asio::awaitable<std::optional<ProxyError>> CallerRequest::Attempt() {
  if (routing_->poison.contains(fingerprint_)) {
    context_.metrics.Count(Counter::kPoisonRefused);
    co_return ProxyError::kPoison;
  }
  if (const std::optional<HedgePolicy::Delays> delays = HedgeDelays()) {
    const auto failed = co_await HedgedAttemptAfter(*delays);
    co_return failed;
  }
  RecordSent();
  const std::unique_ptr<RequestRun> run = MakeRun(*options_.control);
  const std::optional<ProxyError> error = co_await run->Begin();
  OnBegun(*run);
  if (error) {
    co_await run->End(false);
    OnError(*error);
    co_return error;
  }
  const unsigned status = run->exchange().response().result_int();
  if (attempt_ == 1 && !IsServerError(status)) LearnLatency();
  const Exchange::RelayResult relayed = co_await Relay(run->exchange());
  OnRelayed(relayed, status);
  if (complete_) co_await run->exchange().FinishBody();
  co_await run->End(relayed == Exchange::RelayResult::kTruncated);
  co_return std::nullopt;
}

void CallerRequest::RecordSent() {
  sent_at_ = std::chrono::steady_clock::now();
  context_.balancer.OnSent(target().info.id);
  context_.Record([&] {
    return fmt::format("event=request_sent t_us={} route={} target={} key={}",
                       HistoryTimeUs(), rule().name.value(),
                       target().info.id.value(),
                       HeaderValue(*options_.header, kIdempotencyKeyHeader));
  });
}

void CallerRequest::OnBegun(const RequestRun& run) {
  if (const std::optional<LoadReport> load = run.load_report()) {
    context_.balancer.OnReport(rule().name, target().info.id, *load,
                               std::chrono::steady_clock::now());
  }
}

asio::awaitable<Exchange::RelayResult> CallerRequest::Relay(
    Exchange& exchange) {
  http::response_header<> header = exchange.response();
  if (IsMarkedLeaving(header, context_.options.vocabulary))
    context_.balancer.OnLeaving(target().info.id);
  RemoveHopByHopHeaders(header);
  RemoveInternalHeaders(header);
  if (context_.options.debug_headers) {
    header.set(kTargetHeader, target().info.id.value());
    header.set(kVersionHeader, target().info.version.value());
  }
  if (!options_.keep_alive()) header.set(http::field::connection, "close");
  const Exchange::RelayResult relayed =
      co_await exchange.Relay(std::move(header), options_.receiver);
  co_return relayed;
}

void CallerRequest::OnError(ProxyError error) {
  if (error == ProxyError::kTargetDied) ++target_deaths_;
  ReportSample(ToRequestOutcome(error));
}

void CallerRequest::OnRelayed(Exchange::RelayResult relayed, unsigned status) {
  answered_ = true;
  complete_ = relayed == Exchange::RelayResult::kComplete;
  const RequestControl::Stop stopped = options_.control->stopped();
  if (complete_) {
    const bool failed = IsServerError(status);
    ReportSample(failed ? RequestOutcome::kError : RequestOutcome::kSuccess);
    const MonoTime now = std::chrono::steady_clock::now();
    context_.metrics.Count(Counter::kAnswered);
    context_.metrics.OnAnswered(
        std::chrono::duration_cast<Microseconds>(now - options_.arrival),
        std::chrono::duration_cast<Microseconds>(now - sent_at_));
  } else if (relayed == Exchange::RelayResult::kTruncated) {
    context_.metrics.Count(Counter::kCutAnswers);
    ReportSample(RequestOutcome::kError);
  } else if (stopped == RequestControl::Stop::kDeadline) {
    context_.metrics.Count(Counter::kCutAnswers);
    ReportSample(RequestOutcome::kTimeout);
  } else {
    context_.metrics.Count(Counter::kCancelled);
    ReportSample(RequestOutcome::kCancelled);
  }
  RecordResponse(status, complete_);
  const bool gone = stopped == RequestControl::Stop::kCallerGone ||
                    relayed == Exchange::RelayResult::kReceiverLost;
  Report(complete_ ? RequestDecision::Kind::kAnswered
         : gone    ? RequestDecision::Kind::kCancelled
                   : RequestDecision::Kind::kCut,
         complete_                                    ? ""
         : stopped == RequestControl::Stop::kDeadline ? "deadline"
                                                      : "answer_cut",
         status);
}

void CallerRequest::Report(RequestDecision::Kind kind, std::string_view reason,
                           unsigned status) const {
  if (!context_.options.on_decision) return;
  RequestDecision decision{
      .kind = kind,
      .request_id = GetRequestId(*options_.header, context_.options.vocabulary),
      .reason = reason,
      .attempt = attempt_,
      .status = status,
      .age = std::chrono::duration_cast<Microseconds>(
          std::chrono::steady_clock::now() - options_.arrival),
      .remaining_time = options_.control->RemainingTime(),
      .responses_before = options_.responses_before};
  if (routing_) {
    decision.route = rule().name.value();
    decision.version = routing_->head.version;
  }
  if (attempt_ > 0) {
    decision.pool =
        placement_routing_->pools[placement_.pool].spec.name.value();
    decision.target = target().info.id.value();
    const TargetStats* stats = context_.balancer.FindStats(target().info.id);
    if (stats != nullptr) decision.in_flight = stats->in_flight;
    decision.usual_latency =
        context_.balancer.ExpectedLatency(rule().name, target().info.id);
  }
  context_.options.on_decision(decision);
}

void CallerRequest::ReportSample(RequestOutcome outcome) {
  const MonoTime now = std::chrono::steady_clock::now();
  const auto latency = std::chrono::duration_cast<Microseconds>(now - sent_at_);
  if (outcome == RequestOutcome::kCancelled && MissedLatencyTarget(latency))
    outcome = RequestOutcome::kTimeout;
  RecordOutcome(outcome, latency, now);
  if (!context_.options.on_sample) return;
  context_.options.on_sample({.routing = routing_,
                              .route = route_,
                              .pool = placement_.pool,
                              .group = placement_.group,
                              .target = placement_.target,
                              .outcome = outcome,
                              .latency = latency});
}

void CallerRequest::RecordOutcome(RequestOutcome outcome, Microseconds latency,
                                  MonoTime now) {
  context_.balancer.OnEnded(
      {.route = &rule().name,
       .pool = &routing_->pools[placement_.pool].spec.name,
       .target = &target().info.id},
      outcome, latency, now);
  context_.metrics.OnOutcome(outcome);
}

bool CallerRequest::MissedLatencyTarget(Microseconds latency) const {
  // A caller that disconnects this late is assumed to do so because the target
  // is slow.
  const Milliseconds objective = rule().target_latency;
  return options_.control->RemainingTime().count() == 0 ||
         (objective.count() > 0 && latency >= objective);
}

bool CallerRequest::MayRetry(ProxyError error) {
  const bool had_token = std::exchange(has_retry_token_, false);
  if (!IsRetryableOnAnotherTarget(error) || options_.body->consumed())
    return false;
  if (!GetErrorTraits(error).not_run && !rule().repeatable) return false;
  CountFreeRefusal(error, reached_no_target_);
  if (attempt_ - reached_no_target_ >= MaxAttempts()) return false;
  if (target_deaths_ >= kMaxTargetDeaths) return false;
  if (options_.control->stopped() != RequestControl::Stop::kNone ||
      options_.control->RemainingTime() < kMinTimeForRetry) {
    return false;
  }
  // A request that reached no target adds no load, so it needs no retry token.
  may_have_reached_target_ =
      may_have_reached_target_ || MayHaveReachedTarget(error);
  if (!may_have_reached_target_ || had_token ||
      context_.retries.TryAcquire(CurrentPool()))
    return true;
  context_.metrics.Count(Counter::kRetriesDenied);
  return false;
}

const PoolName& CallerRequest::CurrentPool() const {
  const RoutedRule& route = routing_->routes[route_];
  const std::uint32_t pool =
      share_ < route.split.size() ? route.split[share_].pool : route.pool;
  return routing_->pools[pool].spec.name;
}

Milliseconds CallerRequest::AbandonTimeout() const {
  // The connection may be dead, so half of the remaining time is kept for
  // another target.
  const Microseconds left = options_.control->RemainingTime();
  const Microseconds half = left / 2;
  if (!target().local) return std::chrono::duration_cast<Milliseconds>(half);
  // Targets send no heartbeats, so the limit must be long enough not to mistake
  // a slow target for an unresponsive one.
  const Microseconds usual =
      context_.balancer.ExpectedLatency(rule().name, target().info.id);
  const Microseconds timeout = std::max(half, usual * kSilenceLatencyFactor);
  if (timeout >= left) return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(timeout);
}

std::uint32_t CallerRequest::MaxAttempts() const {
  return camphor::MaxAttempts(rule(), context_.options.limits);
}

bool CallerRequest::MayAbandon() {
  // A streamed body cannot be sent again. A hedge is the other attempt already.
  if (options_.body->consumed() || has_hedge_) return false;
  // Without an attempt left, giving up this one would fail the request. A hedge
  // may have used the last one.
  if (attempt_ - reached_no_target_ >= MaxAttempts()) return false;
  // Without another target, waiting for a slow one is better: its response may
  // be on the way. A draining host aborts no attempts.
  //
  // The balancer's route index matches this request only while the routing is
  // unchanged.
  if (context_.draining || context_.Routing() != routing_) return false;
  const bool another = context_.balancer.HasUntriedTarget(
      route_, share_, tried_, std::chrono::steady_clock::now());
  if (!another) return false;
  has_retry_token_ = context_.retries.TryAcquire(CurrentPool());
  return has_retry_token_;
}

CallerRequest::Result CallerRequest::Refuse(ProxyError error) {
  // An earlier attempt that may have run takes precedence over a later refusal.
  if (unknown_outcome_error_ && GetErrorTraits(error).not_run)
    error = *unknown_outcome_error_;
  const bool not_run = GetErrorTraits(error).not_run;
  if (error == ProxyError::kCallerGone) {
    context_.metrics.Count(Counter::kCancelled);
  } else {
    context_.metrics.Count(not_run ? Counter::kRefusedNotRun
                                   : Counter::kOutcomeUnknown);
  }
  context_.Record([&] {
    return fmt::format(
        "event=refused t_us={} route={} not_run={} reason={} key={}",
        HistoryTimeUs(), routing_ ? rule().name.value() : "", not_run,
        GetErrorTraits(error).reason,
        HeaderValue(*options_.header, kIdempotencyKeyHeader));
  });
  Report(DecisionKindForError(error), GetErrorTraits(error).reason,
         static_cast<unsigned>(GetErrorTraits(error).status));
  return {.error = error,
          .retry_after =
              error == ProxyError::kCold ? ColdRetryAfter() : Milliseconds(0)};
}

Milliseconds CallerRequest::ColdRetryAfter() {
  // The balancer knows only the newest routing.
  if (context_.Routing() != routing_) return Milliseconds(0);
  const double per_second = context_.balancer.ColdShare(route_, share_);
  if (per_second <= 0) return Milliseconds(0);
  return context_.cold_retries[CurrentPool()].Next(
      per_second, std::chrono::steady_clock::now());
}

void CallerRequest::RecordResponse(unsigned status, bool complete) const {
  context_.Record([&] {
    return fmt::format(
        "event=answered t_us={} route={} target={} status={} whole={} key={}",
        HistoryTimeUs(), rule().name.value(), target().info.id.value(), status,
        complete, HeaderValue(*options_.header, kIdempotencyKeyHeader));
  });
}

}  // namespace camphor

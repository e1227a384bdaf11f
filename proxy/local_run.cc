#include "proxy/local_run.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>

#include "proxy/header_rules.h"

namespace camphor {
namespace {

using Counter = ProxyMetrics::Counter;

/// Delays before each check whether a target died.
constexpr std::array<Milliseconds, 4> kDeathProbeDelays = {
    Milliseconds(0), Milliseconds(5), Milliseconds(15), Milliseconds(30)};

/// Result awaited on the proxy thread that may be delivered from any thread.
template <typename Value>
struct Pending {
  explicit Pending(std::shared_ptr<asio::io_context> context)
      : io(std::move(context)), timer(*io) {
    timer.expires_at(MonoTime::max());
  }

  static void Complete(const std::shared_ptr<Pending>& self, Value value) {
    asio::post(*self->io, [self, value] {
      self->value = value;
      self->timer.cancel();
      if (self->wait_ended && self->on_late) self->on_late(value);
    });
  }

  std::shared_ptr<asio::io_context> io;
  asio::steady_timer timer;
  std::optional<Value> value;
  bool wait_ended = false;  ///< the waiter gave up
  std::function<void(Value)>
      on_late{};  ///< called with a result delivered later
};

/// Returns true when a changed limit is worth a log line.
bool IsNotableChange(std::optional<double> before,
                     std::optional<double> after) {
  constexpr double kNotableFraction = 0.1;
  if (before.has_value() != after.has_value()) return true;
  return before && std::abs(*after - *before) > kNotableFraction * *before;
}

std::string_view ClaimStatusName(ClaimStatus status) {
  switch (status) {
    case ClaimStatus::kGranted:
      return "granted";
    case ClaimStatus::kAlreadyClaimed:
      return "held";
    case ClaimStatus::kNotMade:
      return "not_made";
    case ClaimStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

LocalRun::LocalRun(ProxyContext& context, PlacedRequest request)
    : context_(context),
      request_(std::move(request)),
      request_id_(GetRequestId(request_.header, context.options.vocabulary)) {}

asio::awaitable<std::optional<ProxyError>> LocalRun::Begin() {
  std::optional<ProxyError> error = co_await Admit();
  if (!error && !request_.claim_key.empty()) error = co_await Claim();
  if (!error)
    error = co_await target_->AcquireSlot(*request_.control, request_.urgency);
  if (!error) {
    has_slot_ = true;
    error = AcquireLimits();
  }
  if (!error) {
    error = co_await Connect();
  }
  if (!error) error = AcquireColdLimit();
  if (!error) error = co_await Send();
  if (error == ProxyError::kEvacuated)
    context_.metrics.Count(Counter::kEvacuatedRefused);
  if (error == ProxyError::kCold) context_.metrics.Count(Counter::kColdRefused);
  if (error && has_claim_ && GetErrorTraits(*error).not_run) {
    error = co_await ReleaseClaim(*error);
  }
  co_return error;
}

asio::awaitable<std::optional<ProxyError>> LocalRun::Admit() {
  if (const auto poison = CheckPoison()) co_return poison;
  if (const auto evacuated = CheckEvacuation()) co_return evacuated;
  target_ = context_.targets->Find(request_.target);
  if (!target_) co_return ProxyError::kNoTarget;
  const auto refusal = target_->CheckAdmission(
      request_.urgency.priority, !request_.claim_key.empty(),
      std::chrono::steady_clock::now());
  if (refusal) co_return refusal;
  co_return Stopped();
}

std::optional<ProxyError> LocalRun::CheckEvacuation() const {
  if (context_.targets->IsEvacuated()) return ProxyError::kEvacuated;
  return std::nullopt;
}

std::optional<ProxyError> LocalRun::AcquireLimits() {
  // The domain may have been evacuated, and the limits reached, while the
  // request waited for a slot.
  if (const auto evacuated = CheckEvacuation()) return evacuated;
  const MonoTime now = std::chrono::steady_clock::now();
  if (!target_->cold_limit().HasRoom(request_.urgency.priority, now))
    return ProxyError::kCold;
  if (!target_->rate_limit().TryAcquire(now)) return ProxyError::kRateLimited;
  return std::nullopt;
}

std::optional<ProxyError> LocalRun::AcquireColdLimit() {
  // After connecting, which may take as long as the connect timeout: the target
  // receives the request at the time for which it was counted.
  const bool admitted = target_->cold_limit().TryAcquire(
      request_.urgency.priority, std::chrono::steady_clock::now());
  if (admitted) return std::nullopt;
  lease_.Reuse();
  return ProxyError::kCold;
}

std::optional<ProxyError> LocalRun::CheckPoison() {
  const EffectiveRoutingPtr& routing = context_.Routing();
  if (!routing) return ProxyError::kNotReady;
  if (routing->poison.contains(request_.fingerprint)) {
    context_.metrics.Count(Counter::kPoisonRefused);
    return ProxyError::kPoison;
  }
  request_.suspect =
      request_.suspect || (routing->suspects.contains(request_.fingerprint) &&
                           !context_.deaths.WasAnswered(request_.fingerprint));
  if (request_.suspect &&
      !context_.deaths.MayStartSuspect(request_.target, request_.fingerprint)) {
    return ProxyError::kSuspectBusy;
  }
  return std::nullopt;
}

asio::awaitable<std::optional<ProxyError>> LocalRun::Claim() {
  if (!context_.options.claim) co_return ProxyError::kClaimNotMade;
  const auto pending = std::make_shared<Pending<ClaimStatus>>(context_.io);
  // A claim granted after the waiter gave up is unused, so it is released.
  pending->on_late = [release = context_.options.release_claim,
                      key = request_.claim_key](ClaimStatus status) {
    if (status == ClaimStatus::kGranted && release) release(key, [](bool) {});
  };
  context_.options.claim(request_.claim_key, request_.fingerprint,
                         [pending](ClaimStatus status) {
                           Pending<ClaimStatus>::Complete(pending, status);
                         });
  {
    const RequestControl::Scope scope(*request_.control,
                                      [&pending] { pending->timer.cancel(); });
    if (!pending->value && !Stopped()) {
      co_await pending->timer.async_wait(kAsTuple);
    }
  }
  const ClaimStatus status = pending->value.value_or(ClaimStatus::kUnknown);
  pending->wait_ended = !pending->value;
  context_.Record([&] {
    return fmt::format("event=claim t_us={} key={} status={}", HistoryTimeUs(),
                       request_.claim_key, ClaimStatusName(status));
  });
  switch (status) {
    case ClaimStatus::kGranted:
      context_.metrics.Count(Counter::kClaimsGranted);
      has_claim_ = true;
      co_return std::nullopt;
    case ClaimStatus::kAlreadyClaimed:
      context_.metrics.Count(Counter::kClaimsHeld);
      co_return ProxyError::kClaimHeld;
    case ClaimStatus::kNotMade:
      context_.metrics.Count(Counter::kClaimsNotMade);
      co_return ProxyError::kClaimNotMade;
    case ClaimStatus::kUnknown:
      break;
  }
  context_.metrics.Count(Counter::kClaimsUnknown);
  co_return ProxyError::kClaimUnknown;
}

asio::awaitable<ProxyError> LocalRun::ReleaseClaim(ProxyError error) {
  // The caller may be told "not run" only after the claim is released.
  if (!context_.options.release_claim) co_return ProxyError::kClaimUnknown;
  const auto pending = std::make_shared<Pending<bool>>(context_.io);
  context_.options.release_claim(request_.claim_key, [pending](bool released) {
    Pending<bool>::Complete(pending, released);
  });
  pending->timer.expires_after(context_.options.limits.connect_timeout);
  if (!pending->value) co_await pending->timer.async_wait(kAsTuple);
  co_return pending->value.value_or(false) ? error : ProxyError::kClaimUnknown;
}

asio::awaitable<std::optional<ProxyError>> LocalRun::Connect() {
  ConnectionPool::Acquired acquired = co_await target_->pool()->Acquire();
  if (!acquired.lease) {
    if (acquired.failure != ConnectionPool::Failure::kFull)
      context_.targets->AssumeCold(request_.target, *target_);
    co_return acquired.failure == ConnectionPool::Failure::kFull
        ? ProxyError::kFull
        : ProxyError::kConnectFailed;
  }
  lease_ = std::move(acquired.lease);
  // The deadline may have passed meanwhile, for example while the process was
  // paused, and another suspect may have started.
  if (const auto poison = CheckPoison()) co_return poison;
  if (const auto evacuated = CheckEvacuation()) co_return evacuated;
  co_return Stopped();
}

asio::awaitable<std::optional<ProxyError>> LocalRun::Send() {
  if (request_.before_send) {
    const bool ready = co_await request_.before_send();
    if (!ready) co_return ProxyError::kCallerGone;
    if (const auto evacuated = CheckEvacuation()) co_return evacuated;
  }
  context_.deaths.OnStart(request_.target, request_.fingerprint,
                          request_.suspect);
  tracked_ = true;
  sent_at_ = std::chrono::steady_clock::now();
  SetTargetHeaders();
  exchange_.emplace(
      Exchange::Options{.connection = &*lease_,
                        .control = request_.control,
                        .body = request_.body,
                        .abandon_after = request_.abandon_after,
                        .may_abandon = request_.may_abandon,
                        .vocabulary = &context_.options.vocabulary});
  const Exchange::SendResult sent =
      co_await exchange_->Send(std::move(request_.header));
  if (sent == Exchange::SendResult::kResponse) {
    answered_ = true;
    ReadStatement();
    const auto refused = co_await ReadRefusal();
    if (refused) co_return refused;
    const auto broken_off = co_await ReadSmallBody();
    co_return broken_off;
  }
  if (sent == Exchange::SendResult::kNotSent) {
    const auto stopped = Stopped();
    co_return stopped ? *stopped : ProxyError::kConnectFailed;
  }
  if (sent == Exchange::SendResult::kConnectionBroken) {
    const ProxyError error = co_await DetectTargetDeath();
    co_return error;
  }
  const ProxyError error = ToProxyError(sent, *request_.control);
  if (error == ProxyError::kSilent)
    context_.targets->AssumeCold(request_.target, *target_);
  co_return error;
}

void LocalRun::SetTargetHeaders() {
  const HeaderVocabulary& vocabulary = context_.options.vocabulary;
  const auto set = [this](const std::string& name, std::string_view value) {
    if (!name.empty()) request_.header.set(name, value);
  };
  const auto left = std::chrono::duration_cast<Milliseconds>(
      request_.control->RemainingTime());
  set(vocabulary.deadline, fmt::format_int(left.count()).str());
  set(vocabulary.attempt, fmt::format_int(request_.attempt).str());
  set(vocabulary.expected_target, request_.target.value());
}

void LocalRun::ReadStatement() {
  const ProxyServer::Options& options = context_.options;
  const http::response_header<>& response = exchange_->response();
  const LocalTarget::Statement before = target_->statement();
  target_->SetStatement(
      {.request_limit = ReadRequestLimit(response, options.vocabulary),
       .leaving = IsMarkedLeaving(response, options.vocabulary)});
  const LocalTarget::Statement after = target_->statement();
  const bool limit_changed =
      IsNotableChange(before.request_limit, after.request_limit);
  if (limit_changed && options.on_target_limit)
    options.on_target_limit(request_.target, after.request_limit);
  if (after.leaving && !before.leaving && options.on_target_leaving)
    options.on_target_leaving(request_.target);
}

asio::awaitable<std::optional<ProxyError>> LocalRun::ReadRefusal() {
  const http::response_header<>& response = exchange_->response();
  if (!IsMarkedNotRun(response, context_.options.vocabulary))
    co_return std::nullopt;
  if (MayBeEarlierRefusal(response)) {
    lease_->Close();
    co_return ProxyError::kBadAnswer;
  }
  lease_->refused_request_id = request_id_;
  refused_by_target_ = true;
  co_await exchange_->Discard();
  co_return ProxyError::kRefused;
}

asio::awaitable<std::optional<ProxyError>> LocalRun::ReadSmallBody() {
  const bool whole = co_await exchange_->ReadSmallBody();
  if (whole) co_return std::nullopt;
  answered_ = false;
  if (request_.control->stopped() != RequestControl::Stop::kNone)
    co_return ToProxyError(Exchange::SendResult::kStopped, *request_.control);
  const ProxyError error = co_await DetectTargetDeath();
  co_return error;
}

bool LocalRun::MayBeEarlierRefusal(
    const http::response_header<>& response) const {
  const std::string& id_header = context_.options.vocabulary.request_id;
  if (!lease_->used || id_header.empty() || request_id_.empty()) return false;
  return HeaderValue(response, id_header).empty() ||
         lease_->refused_request_id == request_id_;
}

asio::awaitable<ProxyError> LocalRun::DetectTargetDeath() {
  context_.targets->AssumeCold(request_.target, *target_);
  // A broken connection does not prove that the target died. An exiting process
  // may close its connections before its listener, so probe several times.
  bool dead = false;
  for (const Milliseconds pause : kDeathProbeDelays) {
    asio::steady_timer timer(*context_.io, pause);
    co_await timer.async_wait(kAsTuple);
    const ConnectionPool::Failure probe = co_await target_->pool()->Probe();
    dead = probe == ConnectionPool::Failure::kRefused;
    if (dead) break;
  }
  if (!dead) co_return ProxyError::kTargetBroke;
  const std::vector<std::uint64_t> blamed =
      context_.deaths.OnDeath(request_.target);
  if (!blamed.empty()) context_.metrics.Count(Counter::kTargetDeaths);
  for (const std::uint64_t fingerprint : blamed) {
    if (context_.options.on_target_death) {
      context_.options.on_target_death(fingerprint, request_.target);
    }
  }
  co_return ProxyError::kTargetDied;
}

std::optional<ProxyError> LocalRun::Stopped() const {
  if (request_.control->stopped() == RequestControl::Stop::kCallerGone) {
    return ProxyError::kCallerGone;
  }
  if (request_.control->RemainingTime().count() == 0)
    return ProxyError::kTooLate;
  return std::nullopt;
}

std::optional<LoadReport> LocalRun::load_report() const {
  const Urgency& urgency = request_.urgency;
  if (!context_.options.limits.load_reports || !target_ ||
      urgency.soft_deadline >= urgency.deadline) {
    return std::nullopt;
  }
  std::optional<LoadReport> report = target_->gate().Report(urgency.work_class);
  // The slot of this request is about to be released.
  if (report && has_slot_ && report->running > 0) --report->running;
  return report;
}

asio::awaitable<void> LocalRun::End(bool cut) {
  if (exchange_) {
    co_await exchange_->Join();
    if (exchange_->reusable()) {
      lease_->usable_until = std::chrono::steady_clock::now() +
                             ReadKeepAliveTimeout(exchange_->response());
      lease_->used = true;
      lease_.Reuse();
    }
  }
  lease_.Drop();
  if (cut) {
    answered_ = false;
    co_await DetectTargetDeath();
  }
  if (tracked_) {
    context_.deaths.OnEnd(request_.target, request_.fingerprint,
                          answered_ && !refused_by_target_);
  }
  if (has_slot_) {
    const auto took = std::chrono::duration_cast<Microseconds>(
        std::chrono::steady_clock::now() - sent_at_);
    std::optional<ConcurrencyLimiter::ServiceSample> ended;
    if (tracked_ && !refused_by_target_) {
      const bool good =
          answered_ && !IsServerError(exchange_->response().result_int());
      ended = {.work_class = request_.urgency.work_class,
               .took = took,
               .failed = !good};
    }
    target_->ReleaseSlot(ended);
  }
  has_slot_ = false;
  tracked_ = false;
}

}  // namespace camphor

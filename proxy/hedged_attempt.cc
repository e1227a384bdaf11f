#include "proxy/hedged_attempt.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cassert>
#include <chrono>
#include <utility>

#include "proxy/header_rules.h"

namespace camphor {
namespace {

std::size_t IndexOf(HedgedAttempt::Kind kind) {
  return static_cast<std::size_t>(kind);
}

HedgedAttempt::Kind OtherKind(HedgedAttempt::Kind kind) {
  return kind == HedgedAttempt::Kind::kPrimary ? HedgedAttempt::Kind::kHedge
                                               : HedgedAttempt::Kind::kPrimary;
}

}  // namespace

// The primary or the hedge. Shared with the coroutine that runs it, so that it
// outlives what its pending operations refer to.
struct HedgedAttempt::Attempt {
  bool good() const {
    return begun && !outcome.error && !IsServerError(outcome.status);
  }

  std::shared_ptr<asio::steady_timer> changed;
  std::function<void(const RequestRun&, const Outcome&)> on_begun;
  std::shared_ptr<RequestControl> control;
  std::unique_ptr<RequestRun> run;
  Outcome outcome{};
  bool begun = false;  ///< it has a response or has failed
  bool lost = false;   ///< the other attempt has won
  bool ended = false;  ///< its resources are released
};

HedgedAttempt::HedgedAttempt(Options options)
    : options_(std::move(options)),
      changed_(std::make_shared<asio::steady_timer>(options_.executor)) {
  assert(options_.control && options_.make_run && options_.on_slow &&
         options_.on_begun && options_.on_lost);
}

HedgedAttempt::~HedgedAttempt() = default;

asio::awaitable<std::optional<ProxyError>> HedgedAttempt::Begin() {
  scope_.emplace(*options_.control, [this] { StopAll(); });
  std::shared_ptr<RequestControl> control = MakeControl();
  std::unique_ptr<RequestRun> run = options_.make_run(Kind::kPrimary, *control);
  Start(Kind::kPrimary, std::move(run), std::move(control));
  const AttemptPtr primary = attempts_.front();
  MonoTime slow_at = options_.slow_at;
  MonoTime hedge_at = options_.hedge_at;
  while (!IsDecided()) {
    const MonoTime now = std::chrono::steady_clock::now();
    const bool pending = !primary->begun && !primary->outcome.error;
    if (pending && now >= slow_at) {
      slow_at = MonoTime::max();
      options_.on_slow();
    }
    if (pending && now >= hedge_at) {
      hedge_at = MonoTime::max();
      MaybeStartHedge();
      continue;
    }
    const bool holds_response = FindWinner().has_value();
    // A response that is ready is delivered even if it is an error.
    const MonoTime deadline = options_.control->deadline();
    if (holds_response && now >= deadline) break;
    MonoTime until = holds_response ? deadline : MonoTime::max();
    if (pending) until = std::min({until, slow_at, hedge_at});
    co_await WaitForChange(until);
  }
  const std::optional<Kind> winner = FindWinner();
  if (!winner) co_return CombineErrors();
  Win(*winner);
  co_return std::nullopt;
}

RequestRun& HedgedAttempt::run() { return *attempts_[IndexOf(winner_)]->run; }

asio::awaitable<void> HedgedAttempt::Join() {
  const AttemptPtr other = attempts_[IndexOf(OtherKind(winner_))];
  while (other && !other->ended) co_await WaitForChange(MonoTime::max());
  scope_.reset();
}

std::shared_ptr<RequestControl> HedgedAttempt::MakeControl() const {
  // Without a timer of its own: the deadline comes from the request's control.
  auto control = std::make_shared<RequestControl>(
      options_.executor, options_.control->deadline(),
      [outer = options_.control] { return outer->StopIfSenderLeft(); });
  if (options_.control->stopped() != RequestControl::Stop::kNone)
    control->StopNow(options_.control->stopped());
  return control;
}

void HedgedAttempt::Start(Kind kind, std::unique_ptr<RequestRun> run,
                          std::shared_ptr<RequestControl> control) {
  auto attempt = std::make_shared<Attempt>();
  attempt->changed = changed_;
  attempt->on_begun = [this, kind](const RequestRun& begun,
                                   const Outcome& outcome) {
    options_.on_begun(kind, begun, outcome);
  };
  attempt->control = std::move(control);
  attempt->run = std::move(run);
  attempts_[IndexOf(kind)] = attempt;
  asio::co_spawn(options_.executor, RunAttempt(std::move(attempt)),
                 asio::detached);
}

asio::awaitable<void> HedgedAttempt::RunAttempt(AttemptPtr attempt) {
  attempt->outcome.error = co_await attempt->run->Begin();
  if (!attempt->lost) {
    if (!attempt->outcome.error)
      attempt->outcome.status =
          attempt->run->exchange().response().result_int();
    attempt->on_begun(*attempt->run, attempt->outcome);
  }
  if (attempt->lost || attempt->outcome.error) {
    co_await attempt->run->End(false);
    attempt->ended = true;
  }
  attempt->begun = true;
  attempt->changed->cancel();
}

asio::awaitable<void> HedgedAttempt::EndAttempt(AttemptPtr attempt) {
  co_await attempt->run->End(false);
  attempt->ended = true;
  attempt->changed->cancel();
}

void HedgedAttempt::MaybeStartHedge() {
  if (options_.control->stopped() != RequestControl::Stop::kNone) return;
  std::shared_ptr<RequestControl> control = MakeControl();
  std::unique_ptr<RequestRun> run = options_.make_run(Kind::kHedge, *control);
  if (run) Start(Kind::kHedge, std::move(run), std::move(control));
}

asio::awaitable<void> HedgedAttempt::WaitForChange(MonoTime until) {
  changed_->expires_at(until);
  co_await changed_->async_wait(kAsTuple);
}

std::optional<HedgedAttempt::Kind> HedgedAttempt::FindWinner() const {
  std::optional<Kind> found;
  for (const Kind kind : {Kind::kPrimary, Kind::kHedge}) {
    const AttemptPtr& attempt = attempts_[IndexOf(kind)];
    if (!attempt || !attempt->begun || attempt->outcome.error) continue;
    if (attempt->good()) return kind;
    if (!found) found = kind;
  }
  return found;
}

bool HedgedAttempt::IsDecided() const {
  bool all_begun = true;
  for (const AttemptPtr& attempt : attempts_) {
    if (attempt && attempt->good()) return true;
    all_begun = all_begun && (!attempt || attempt->begun);
  }
  return all_begun;
}

ProxyError HedgedAttempt::CombineErrors() const {
  const std::optional<ProxyError> primary = attempts_.front()->outcome.error;
  const std::optional<ProxyError> hedge =
      attempts_.back() ? attempts_.back()->outcome.error : std::nullopt;
  if (!hedge) return *primary;
  if (hedge == ProxyError::kCallerGone) return *hedge;
  // A refusal promises that the request has not run anywhere.
  return GetErrorTraits(*primary).not_run ? *hedge : *primary;
}

void HedgedAttempt::Win(Kind kind) {
  winner_ = kind;
  const Kind other = OtherKind(kind);
  const AttemptPtr& loser = attempts_[IndexOf(other)];
  if (!loser || loser->outcome.error) return;
  loser->lost = true;
  const bool bad_response = loser->begun && !loser->good();
  options_.on_lost(other, bad_response ? std::optional(loser->outcome.status)
                                       : std::nullopt);
  loser->control->StopNow(RequestControl::Stop::kCallerGone);
  // Otherwise its coroutine ends it as soon as the stop takes effect.
  if (loser->begun) {
    asio::co_spawn(options_.executor, EndAttempt(loser), asio::detached);
  }
}

void HedgedAttempt::StopAll() {
  for (const AttemptPtr& attempt : attempts_) {
    if (attempt) attempt->control->StopNow(options_.control->stopped());
  }
}

}  // namespace camphor

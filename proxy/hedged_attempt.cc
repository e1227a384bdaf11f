#include "proxy/hedged_attempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cassert>
#include <chrono>
#include <utility>

#include "proxy/header_rules.h"

namespace camphor {
namespace {

std::size_t IndexOf(HedgedAttempt::Side side) {
  return static_cast<std::size_t>(side);
}

HedgedAttempt::Side OtherSide(HedgedAttempt::Side side) {
  return side == HedgedAttempt::Side::kFirst ? HedgedAttempt::Side::kCopy
                                             : HedgedAttempt::Side::kFirst;
}

}  // namespace

// One of the two runs. Shared with the coroutine that runs it, so that it
// outlives what its pending operations refer to.
struct HedgedAttempt::Branch {
  bool good() const {
    return begun && !outcome.error && !IsServerError(outcome.status);
  }

  std::shared_ptr<asio::steady_timer> changed;
  std::function<void(const RequestRun&, const Outcome&)> on_begun;
  std::shared_ptr<RequestControl> control;
  std::unique_ptr<RequestRun> run;
  Outcome outcome{};
  bool begun = false;  ///< it has a response or has failed
  bool lost = false;   ///< the other run has won
  bool ended = false;  ///< its resources are released
};

HedgedAttempt::HedgedAttempt(Options options)
    : options_(std::move(options)),
      changed_(std::make_shared<asio::steady_timer>(options_.executor)) {
  assert(options_.control && options_.make_run && options_.on_begun &&
         options_.on_lost);
}

HedgedAttempt::~HedgedAttempt() = default;

asio::awaitable<std::optional<ProxyError>> HedgedAttempt::Begin() {
  scope_.emplace(*options_.control, [this] { StopAll(); });
  std::shared_ptr<RequestControl> control = MakeControl();
  std::unique_ptr<RequestRun> run = options_.make_run(Side::kFirst, *control);
  Start(Side::kFirst, std::move(run), std::move(control));
  const BranchPtr first = branches_.front();
  while (!first->begun &&
         std::chrono::steady_clock::now() < options_.hedge_at) {
    co_await WaitForChange(options_.hedge_at);
  }
  if (!first->begun && !first->outcome.error) MaybeStartCopy();
  while (!IsDecided()) {
    const bool holds_response = FindWinner().has_value();
    // A response that is ready is delivered even if it is an error.
    const MonoTime deadline = options_.control->deadline();
    if (holds_response && std::chrono::steady_clock::now() >= deadline) break;
    co_await WaitForChange(holds_response ? deadline : MonoTime::max());
  }
  const std::optional<Side> winner = FindWinner();
  if (!winner) co_return CombineErrors();
  Win(*winner);
  co_return std::nullopt;
}

RequestRun& HedgedAttempt::run() { return *branches_[IndexOf(winner_)]->run; }

asio::awaitable<void> HedgedAttempt::Join() {
  const BranchPtr other = branches_[IndexOf(OtherSide(winner_))];
  while (other && !other->ended) co_await WaitForChange(MonoTime::max());
  scope_.reset();
}

std::shared_ptr<RequestControl> HedgedAttempt::MakeControl() const {
  // Without a timer of its own: the deadline comes from the request's control.
  auto control = std::make_shared<RequestControl>(options_.executor,
                                                  options_.control->deadline());
  if (options_.control->stopped() != RequestControl::Stop::kNone)
    control->StopNow(options_.control->stopped());
  return control;
}

void HedgedAttempt::Start(Side side, std::unique_ptr<RequestRun> run,
                          std::shared_ptr<RequestControl> control) {
  auto branch = std::make_shared<Branch>();
  branch->changed = changed_;
  branch->on_begun = [this, side](const RequestRun& begun,
                                  const Outcome& outcome) {
    options_.on_begun(side, begun, outcome);
  };
  branch->control = std::move(control);
  branch->run = std::move(run);
  branches_[IndexOf(side)] = branch;
  asio::co_spawn(options_.executor, RunBranch(std::move(branch)),
                 asio::detached);
}

asio::awaitable<void> HedgedAttempt::RunBranch(BranchPtr branch) {
  branch->outcome.error = co_await branch->run->Begin();
  if (!branch->lost) {
    if (!branch->outcome.error)
      branch->outcome.status = branch->run->exchange().response().result_int();
    branch->on_begun(*branch->run, branch->outcome);
  }
  if (branch->lost || branch->outcome.error) {
    co_await branch->run->End(false);
    branch->ended = true;
  }
  branch->begun = true;
  branch->changed->cancel();
}

asio::awaitable<void> HedgedAttempt::EndBranch(BranchPtr branch) {
  co_await branch->run->End(false);
  branch->ended = true;
  branch->changed->cancel();
}

void HedgedAttempt::MaybeStartCopy() {
  if (options_.control->stopped() != RequestControl::Stop::kNone) return;
  std::shared_ptr<RequestControl> control = MakeControl();
  std::unique_ptr<RequestRun> run = options_.make_run(Side::kCopy, *control);
  if (run) Start(Side::kCopy, std::move(run), std::move(control));
}

asio::awaitable<void> HedgedAttempt::WaitForChange(MonoTime until) {
  changed_->expires_at(until);
  co_await changed_->async_wait(kAsTuple);
}

std::optional<HedgedAttempt::Side> HedgedAttempt::FindWinner() const {
  std::optional<Side> found;
  for (const Side side : {Side::kFirst, Side::kCopy}) {
    const BranchPtr& branch = branches_[IndexOf(side)];
    if (!branch || !branch->begun || branch->outcome.error) continue;
    if (branch->good()) return side;
    if (!found) found = side;
  }
  return found;
}

bool HedgedAttempt::IsDecided() const {
  bool all_begun = true;
  for (const BranchPtr& branch : branches_) {
    if (branch && branch->good()) return true;
    all_begun = all_begun && (!branch || branch->begun);
  }
  return all_begun;
}

ProxyError HedgedAttempt::CombineErrors() const {
  const std::optional<ProxyError> first = branches_.front()->outcome.error;
  const std::optional<ProxyError> copy =
      branches_.back() ? branches_.back()->outcome.error : std::nullopt;
  if (!copy) return *first;
  if (copy == ProxyError::kCallerGone) return *copy;
  // A refusal promises that the request has not run anywhere.
  return GetErrorTraits(*first).not_run ? *copy : *first;
}

void HedgedAttempt::Win(Side side) {
  winner_ = side;
  const Side other = OtherSide(side);
  const BranchPtr& loser = branches_[IndexOf(other)];
  if (!loser || loser->outcome.error) return;
  loser->lost = true;
  const bool bad_response = loser->begun && !loser->good();
  options_.on_lost(other, bad_response ? std::optional(loser->outcome.status)
                                       : std::nullopt);
  loser->control->StopNow(RequestControl::Stop::kCallerGone);
  // Otherwise its coroutine ends it as soon as the stop takes effect.
  if (loser->begun) {
    asio::co_spawn(options_.executor, EndBranch(loser), asio::detached);
  }
}

void HedgedAttempt::StopAll() {
  for (const BranchPtr& branch : branches_) {
    if (branch) branch->control->StopNow(options_.control->stopped());
  }
}

}  // namespace camphor

#include "proxy/hedged_attempt.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphor {
namespace {

// Fails once its request is stopped or after a time.
class FailingRun : public RequestRun {
 public:
  FailingRun(const asio::any_io_executor& executor, RequestControl& control,
             Milliseconds after)
      : control_(control), timer_(executor, after) {}

  asio::awaitable<std::optional<ProxyError>> Begin() override {
    const RequestControl::Scope scope(control_, [this] { timer_.cancel(); });
    if (control_.stopped() == RequestControl::Stop::kNone)
      co_await timer_.async_wait(kAsTuple);
    co_return control_.stopped() == RequestControl::Stop::kNone
        ? ProxyError::kTargetBroke
        : ProxyError::kCallerGone;
  }

  asio::awaitable<void> End(bool /*cut*/) override { co_return; }
  Exchange& exchange() override { std::abort(); }
  std::optional<LoadReport> load_report() const override {
    return std::nullopt;
  }

 private:
  RequestControl& control_;
  asio::steady_timer timer_;
};

// The order in which a hedged attempt asks for a hedge and reports that its
// primary is slow.
class HedgedAttemptOrder : public testing::Test {
 protected:
  // Runs an attempt whose primary fails after `primary`, with or without a
  // hedge that fails after `hedge`.
  void RunAttempt(Milliseconds hedge_after, Milliseconds slow_after,
                  Milliseconds primary, std::optional<Milliseconds> hedge) {
    const MonoTime start = std::chrono::steady_clock::now();
    const auto control = std::make_shared<RequestControl>(io_.get_executor(),
                                                          start + Seconds(60));
    HedgedAttempt attempt(
        {.executor = io_.get_executor(),
         .control = control.get(),
         .hedge_at = start + hedge_after,
         .slow_at = start + slow_after,
         .make_run = [&](HedgedAttempt::Kind kind,
                         RequestControl& own) -> std::unique_ptr<RequestRun> {
           const bool is_primary = kind == HedgedAttempt::Kind::kPrimary;
           if (!is_primary) events_.emplace_back("hedge");
           if (!is_primary && !hedge) return nullptr;
           return std::make_unique<FailingRun>(io_.get_executor(), own,
                                               is_primary ? primary : *hedge);
         },
         .on_slow = [this] { events_.emplace_back("slow"); },
         .on_begun = [](HedgedAttempt::Kind, const RequestRun&,
                        const HedgedAttempt::Outcome&) {},
         .on_lost = [](HedgedAttempt::Kind, std::optional<unsigned>) {}});
    asio::co_spawn(
        io_,
        [&]() -> asio::awaitable<void> {
          error_ = co_await attempt.Begin();
          co_await attempt.Join();
        },
        asio::detached);
    io_.run();
  }

  asio::io_context io_{1};
  std::vector<std::string> events_;
  std::optional<ProxyError> error_;
};

// Guards against a slow primary that is not reported because it has an early
// hedge, so that a slow pool isn't noticed.
TEST_F(HedgedAttemptOrder, HedgeIsEarly_PrimaryIsStillReportedAsSlow) {
  RunAttempt(Milliseconds(10), Milliseconds(60), Milliseconds(600),
             Milliseconds(600));
  EXPECT_EQ(events_, (std::vector<std::string>{"hedge", "slow"}));
  EXPECT_EQ(error_, ProxyError::kTargetBroke);
}

TEST_F(HedgedAttemptOrder, EarlyHedgeIsDenied_IsAskedForOnce) {
  RunAttempt(Milliseconds(10), Milliseconds(60), Milliseconds(600),
             std::nullopt);
  EXPECT_EQ(events_, (std::vector<std::string>{"hedge", "slow"}));
  EXPECT_EQ(error_, ProxyError::kTargetBroke);
}

// Guards against a decision about the hedge that doesn't know of the primary
// yet.
TEST_F(HedgedAttemptOrder, BothAreDueAtOnce_SlowIsReportedFirst) {
  RunAttempt(Milliseconds(10), Milliseconds(10), Milliseconds(600),
             Milliseconds(600));
  EXPECT_EQ(events_, (std::vector<std::string>{"slow", "hedge"}));
}

// Guards against a wait for nothing after the hedge has failed at once.
TEST_F(HedgedAttemptOrder, HedgeFailsAtOnce_PrimaryDecides) {
  RunAttempt(Milliseconds(10), Milliseconds(60), Milliseconds(600),
             Milliseconds(0));
  EXPECT_EQ(events_, (std::vector<std::string>{"hedge", "slow"}));
  EXPECT_EQ(error_, ProxyError::kTargetBroke);
}

// Guards against a hedge of an attempt that has ended; it is retried instead.
TEST_F(HedgedAttemptOrder, PrimaryFailsBefore_NothingIsAskedOrReported) {
  RunAttempt(Milliseconds(2000), Milliseconds(3000), Milliseconds(5),
             Milliseconds(5));
  EXPECT_TRUE(events_.empty());
  EXPECT_EQ(error_, ProxyError::kTargetBroke);
}

}  // namespace
}  // namespace camphor

#include "proxy/request_control.h"

#include <gtest/gtest.h>

#include <memory>

namespace camphor {
namespace {

TEST(RequestControlStart, DeadlineGrace_StopsThatMuchAfterTheDeadline) {
  asio::io_context io;
  const MonoTime deadline = std::chrono::steady_clock::now() + Milliseconds(20);
  const auto control =
      std::make_shared<RequestControl>(io.get_executor(), deadline);
  MonoTime stopped{};
  const RequestControl::Scope scope(
      *control, [&stopped] { stopped = std::chrono::steady_clock::now(); });
  control->Start(Milliseconds(60));
  io.run();
  EXPECT_EQ(control->stopped(), RequestControl::Stop::kDeadline);
  EXPECT_GE(stopped, deadline + Milliseconds(60));
  EXPECT_EQ(control->RemainingTime(), Microseconds(0));
}

TEST(RequestControlFinish, RunningDeadline_DoesNotInterrupt) {
  asio::io_context io;
  const auto control = std::make_shared<RequestControl>(
      io.get_executor(), std::chrono::steady_clock::now() + Milliseconds(5));
  bool interrupted = false;
  const RequestControl::Scope scope(*control,
                                    [&interrupted] { interrupted = true; });
  control->Start();
  control->Finish();
  io.run();
  EXPECT_FALSE(interrupted);
}

}  // namespace
}  // namespace camphor

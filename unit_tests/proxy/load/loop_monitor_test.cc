#include "proxy/load/loop_monitor.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>
#include <vector>

namespace camphor {
namespace {

/// Two listeners of which nothing is accepted unless a test does so.
class LoopMonitorTest : public testing::Test {
 protected:
  LoopMonitorTest()
      : callers_(context_, Loopback()),
        hosts_(context_, Loopback()),
        monitor_(callers_, hosts_,
                 {.interval = Milliseconds(20),
                  .on_load = [this](const LoopLoad& load) {
                    loads_.push_back(load);
                    monitor_.Stop();
                  }}) {}

  static tcp::endpoint Loopback() {
    return {asio::ip::address_v4::loopback(), 0};
  }

  /// Connects without waiting for the connection to be accepted.
  tcp::socket Connect(const tcp::acceptor& to) {
    tcp::socket socket(context_);
    socket.connect(to.local_endpoint());
    return socket;
  }

  /// Returns the first measurement.
  LoopLoad Measure() {
    asio::co_spawn(context_, monitor_.Run(), asio::detached);
    context_.run();
    return loads_.empty() ? LoopLoad{} : loads_.front();
  }

  asio::io_context context_;
  tcp::acceptor callers_;
  tcp::acceptor hosts_;
  std::vector<LoopLoad> loads_;
  LoopMonitor monitor_;
};

using LoopMonitorMeasure = LoopMonitorTest;

TEST_F(LoopMonitorMeasure, NothingWaits_QueuesAreEmpty) {
  const LoopLoad load = Measure();
  EXPECT_EQ(load.callers, (ListenerLoad{.queued = 0}));
  EXPECT_EQ(load.hosts, (ListenerLoad{.queued = 0}));
}

TEST_F(LoopMonitorMeasure, ConnectionsNotAccepted_CountedByListener) {
  const tcp::socket first = Connect(callers_);
  const tcp::socket second = Connect(callers_);
  const tcp::socket third = Connect(hosts_);
  const LoopLoad load = Measure();
  EXPECT_EQ(load.callers.queued, 2U);
  EXPECT_EQ(load.hosts.queued, 1U);
}

TEST_F(LoopMonitorMeasure, LoopIsBlocked_LagIsItsLength) {
  asio::steady_timer block(context_, Milliseconds(5));
  block.async_wait([](const boost::system::error_code&) {
    std::this_thread::sleep_for(Milliseconds(120));
  });
  EXPECT_GE(Measure().lag, Milliseconds(90));
}

TEST_F(LoopMonitorMeasure, ClosedBeforeAccept_CountedAsAbandoned) {
  Connect(callers_).close();
  tcp::socket accepted = callers_.accept();
  monitor_.OnAccepted(callers_, accepted, true);
  const LoopLoad load = Measure();
  EXPECT_EQ(load.callers.accepted, 1U);
  EXPECT_EQ(load.callers.abandoned, 1U);
  EXPECT_EQ(load.hosts.accepted, 0U);
}

TEST_F(LoopMonitorMeasure, WaitedBeforeAccept_LongestWaitIsReported) {
  const tcp::socket caller = Connect(hosts_);
  std::this_thread::sleep_for(Milliseconds(100));
  tcp::socket accepted = hosts_.accept();
  monitor_.OnAccepted(hosts_, accepted, false);
  const LoopLoad load = Measure();
  EXPECT_EQ(load.hosts.abandoned, 0U);
  EXPECT_GE(load.hosts.longest_wait, Milliseconds(80));
  EXPECT_EQ(load.callers.longest_wait, Milliseconds(0));
}

TEST_F(LoopMonitorMeasure, AfterMeasurement_MetricsShowIt) {
  const tcp::socket caller = Connect(callers_);
  Measure();
  const std::string text = monitor_.Text();
  EXPECT_NE(text.find("camphor_proxy_accept_queue_connections"
                      "{listener=\"callers\"} 1\n"),
            std::string::npos)
      << text;
}

}  // namespace
}  // namespace camphor

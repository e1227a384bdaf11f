#include "proxy/load/accept_loop.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace camphor {
namespace {

/// A listener whose connections take some time each to be served.
class AcceptLoopTest : public testing::Test {
 protected:
  AcceptLoopTest()
      : listener_(context_, {asio::ip::address_v4::loopback(), 0}) {
    listener_.non_blocking(true);
  }

  void Start(AcceptLoop::Options options) {
    options.acceptor = &listener_;
    options.serve = [this](tcp::socket socket) {
      std::this_thread::sleep_for(serving_);
      served_.push_back(PortOf(socket));
    };
    options.refuse = [this](tcp::socket socket) {
      refused_.push_back(PortOf(socket));
    };
    options.on_accepted = [this](tcp::socket&, bool abandoned) {
      if (abandoned) ++abandoned_;
    };
    loop_ = std::make_unique<AcceptLoop>(std::move(options));
    asio::co_spawn(context_, loop_->Run(), asio::detached);
  }

  static std::uint16_t PortOf(const tcp::socket& socket) {
    beast::error_code error;
    return socket.remote_endpoint(error).port();
  }

  /// Connects, and returns the ports in the order of the connections.
  std::vector<std::uint16_t> Connect(unsigned count) {
    std::vector<std::uint16_t> ports;
    for (unsigned index = 0; index < count; ++index) {
      callers_.emplace_back(context_).connect(listener_.local_endpoint());
      ports.push_back(callers_.back().local_endpoint().port());
    }
    return ports;
  }

  void RunFor(Milliseconds time) { context_.run_for(time); }

  /// Ends also after some seconds.
  void RunUntilServed(std::size_t count) {
    const MonoTime end = std::chrono::steady_clock::now() + Seconds(5);
    while (served_.size() < count && std::chrono::steady_clock::now() < end)
      RunFor(Milliseconds(5));
  }

  asio::io_context context_;
  tcp::acceptor listener_;
  std::unique_ptr<AcceptLoop> loop_;
  Milliseconds serving_{0};
  std::vector<tcp::socket> callers_;
  std::vector<std::uint16_t> served_;
  std::vector<std::uint16_t> refused_;
  unsigned abandoned_ = 0;
};

using AcceptLoopRun = AcceptLoopTest;

TEST_F(AcceptLoopRun, ThreadHasTime_AllAreServedInOrder) {
  Start({.batch = {.longest_turn = Seconds(10)}});
  const auto ports = Connect(50);
  RunUntilServed(ports.size());
  EXPECT_EQ(served_, ports);
  EXPECT_TRUE(refused_.empty());
}

TEST_F(AcceptLoopRun, ClosedInTheQueue_NotServed) {
  Start({});
  Connect(20);
  callers_.clear();
  const auto ports = Connect(1);
  RunUntilServed(ports.size());
  EXPECT_EQ(abandoned_, 20U);
  EXPECT_EQ(served_, ports);
}

TEST_F(AcceptLoopRun, TurnsAreLong_NewestFirstAndOldestRefusedInTime) {
  serving_ = Milliseconds(20);
  Start({.longest_wait = Milliseconds(150),
         .batch = {.most = 4, .longest_turn = Milliseconds(10)}});
  const auto ports = Connect(60);
  const MonoTime begin = std::chrono::steady_clock::now();
  while (served_.size() + refused_.size() < ports.size() &&
         std::chrono::steady_clock::now() - begin < Seconds(5)) {
    RunFor(Milliseconds(10));
  }
  EXPECT_EQ(served_.size() + refused_.size(), ports.size());
  // The first batch was begun before the thread was behind.
  constexpr std::size_t kFirstBatch = 4;
  EXPECT_EQ(served_.front(), ports.front());
  EXPECT_EQ(served_.at(kFirstBatch), ports.back());
  ASSERT_FALSE(refused_.empty());
  EXPECT_EQ(refused_.front(), ports.at(kFirstBatch));
  // Serving all of them would take 1.2 s.
  EXPECT_LT(std::chrono::steady_clock::now() - begin, Milliseconds(600));
}

TEST_F(AcceptLoopRun, TurnsAreShortAgain_NoneIsRefused) {
  serving_ = Milliseconds(20);
  Start({.longest_wait = Milliseconds(50),
         .batch = {.most = 4, .longest_turn = Milliseconds(10)}});
  Connect(40);
  RunFor(Milliseconds(500));
  serving_ = Milliseconds(0);
  RunFor(Milliseconds(100));
  refused_.clear();
  served_.clear();
  const auto ports = Connect(4);
  RunFor(Milliseconds(100));
  EXPECT_EQ(served_.size(), ports.size());
  EXPECT_TRUE(refused_.empty());
}

TEST_F(AcceptLoopRun, AcceptorCloses_WaitingOnesAreServed) {
  serving_ = Milliseconds(20);
  Start({.longest_wait = Seconds(10),
         .batch = {.most = 2, .longest_turn = Milliseconds(10)}});
  const auto ports = Connect(10);
  RunFor(Milliseconds(60));
  ASSERT_LT(served_.size(), ports.size());
  listener_.close();
  RunFor(Milliseconds(300));
  EXPECT_EQ(served_.size(), ports.size());
}

}  // namespace
}  // namespace camphor

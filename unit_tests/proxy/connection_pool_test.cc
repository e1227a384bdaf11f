#include "proxy/connection_pool.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>

namespace camphor {
namespace {

constexpr Milliseconds kConnectTimeout{20};
constexpr Backoff::Options kReconnect{.initial_delay = Milliseconds(20),
                                      .max_delay = Milliseconds(200)};

/// A pool of an endpoint at which nobody accepts until a test does so.
class ConnectionPoolTest : public testing::Test {
 protected:
  ConnectionPoolTest()
      : listener_(context_, {asio::ip::address_v4::loopback(), 0}) {}

  void MakePool(std::optional<Backoff::Options> reconnect,
                std::string mesh_key) {
    pool_ = std::make_shared<ConnectionPool>(ConnectionPool::Options{
        .executor = context_.get_executor(),
        .endpoint = FromTcpEndpoint(listener_.local_endpoint()),
        .connect_timeout = kConnectTimeout,
        .reconnect = reconnect,
        .mesh_key = std::move(mesh_key),
        .on_connect = [this] { ++connects_; }});
  }

  /// Asks for a connection every few milliseconds, also while others wait.
  void AcquireFor(Milliseconds time) {
    asio::co_spawn(context_, AcquireOften(time), asio::detached);
    context_.run();
    context_.restart();
  }

  asio::awaitable<void> AcquireOften(Milliseconds time) {
    const MonoTime end = std::chrono::steady_clock::now() + time;
    asio::steady_timer pause(context_);
    while (std::chrono::steady_clock::now() < end) {
      asio::co_spawn(context_, AcquireOnce(), asio::detached);
      pause.expires_after(Milliseconds(2));
      co_await pause.async_wait(kAsTuple);
    }
  }

  asio::awaitable<void> AcquireOnce() {
    ConnectionPool::Acquired acquired = co_await pool_->Acquire();
    ++failures_[acquired.failure];
    acquired.lease.Reuse();
  }

  /// Closes the listener, so that connects are refused.
  tcp::endpoint Refuse() {
    tcp::endpoint endpoint = listener_.local_endpoint();
    listener_.close();
    return endpoint;
  }

  asio::io_context context_;
  tcp::acceptor listener_;
  std::shared_ptr<ConnectionPool> pool_;
  unsigned connects_ = 0;
  std::map<ConnectionPool::Failure, unsigned> failures_;
};

using Failure = ConnectionPool::Failure;
using ConnectionPoolAcquire = ConnectionPoolTest;

// Guards against hosts that keep a host behind by connecting again and again.
TEST_F(ConnectionPoolAcquire, HostDoesNotAnswer_ConnectsArePaused) {
  MakePool(kReconnect, "key");
  AcquireFor(Milliseconds(1000));
  // Those of the first timeout, then one at a time with growing pauses.
  EXPECT_LE(connects_, 30U);
  EXPECT_GE(connects_, 3U);
  EXPECT_GE(failures_[Failure::kPaused], 200U);
}

TEST_F(ConnectionPoolAcquire, HostIsBack_ConnectedAfterThePause) {
  MakePool(kReconnect, "");
  const tcp::endpoint endpoint = Refuse();
  AcquireFor(Milliseconds(300));
  EXPECT_EQ(connects_, 0U);
  listener_ = tcp::acceptor(context_, endpoint);
  AcquireFor(kReconnect.max_delay + Milliseconds(100));
  EXPECT_GE(connects_, 1U);
  EXPECT_GE(failures_[Failure::kNone], 1U);
  failures_.clear();
  AcquireFor(Milliseconds(100));
  EXPECT_EQ(failures_[Failure::kPaused], 0U);
}

TEST_F(ConnectionPoolAcquire, HostAnswers_NeverPaused) {
  MakePool(kReconnect, "");
  AcquireFor(Milliseconds(200));
  EXPECT_EQ(failures_[Failure::kPaused], 0U);
  EXPECT_GE(failures_[Failure::kNone], 20U);
}

TEST_F(ConnectionPoolAcquire, TargetRefuses_TriedAgainAtOnce) {
  MakePool(std::nullopt, "");
  Refuse();
  AcquireFor(Milliseconds(100));
  EXPECT_EQ(failures_[Failure::kPaused], 0U);
  EXPECT_GE(failures_[Failure::kRefused], 10U);
}

}  // namespace
}  // namespace camphor

#include "mesh/mesh_transport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "harness/relay.h"

namespace camphor {
namespace {

constexpr std::chrono::seconds kTimeout{20};

// Transport that records its received messages and its connection events.
class TestHost {
 public:
  explicit TestHost(const std::string& key, std::uint16_t port = 0,
                    std::size_t max_connections = 256)
      : transport_({.listen = {.address = "127.0.0.1", .port = port},
                    .key = key,
                    .max_connections = max_connections,
                    .on_message =
                        [this](const Endpoint& from, MeshMessage message) {
                          const std::lock_guard<std::mutex> lock(mutex_);
                          received_.emplace_back(from, std::move(message));
                          changed_.notify_all();
                        },
                    .on_peer_state =
                        [this](const Endpoint&, bool connected) {
                          const std::lock_guard<std::mutex> lock(mutex_);
                          ++(connected ? connected_ : lost_);
                          changed_.notify_all();
                        }}) {
    started_ = transport_.Start();
  }

  bool WaitReceived(std::size_t count) {
    return Wait([&] { return received_.size() >= count; });
  }
  bool WaitReceivedVersions() {
    return Wait([&] {
      return std::ranges::any_of(received_, [](const auto& received) {
        return std::holds_alternative<AppliedVersions>(received.second);
      });
    });
  }
  bool WaitLost(int count) {
    return Wait([&] { return lost_ >= count; });
  }

  bool started() const { return started_; }
  int lost() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return lost_;
  }
  MeshTransport& transport() { return transport_; }
  Endpoint endpoint() const { return transport_.listen_endpoint(); }
  const std::vector<std::pair<Endpoint, MeshMessage>>& received() const {
    return received_;
  }

 private:
  template <typename Condition>
  bool Wait(const Condition& condition) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kTimeout, condition);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<Endpoint, MeshMessage>> received_;
  int connected_ = 0;
  int lost_ = 0;
  bool started_ = false;
  MeshTransport transport_;
};

const MeshMessage kHeartbeat = Heartbeat{.version = 3, .fingerprint = 7};

TEST(MeshTransportSend, SameKey_DeliversInOrderWithSenderEndpoint) {
  TestHost left("key");
  TestHost right("key");
  for (std::uint64_t version = 1; version <= 100; ++version)
    left.transport().Send(right.endpoint(),
                          AppliedVersions{.version = version, .hosts = {1, 2}});
  ASSERT_TRUE(right.WaitReceived(100));
  for (std::uint64_t version = 1; version <= 100; ++version) {
    EXPECT_EQ(right.received()[version - 1].first, left.endpoint());
    EXPECT_EQ(
        std::get<AppliedVersions>(right.received()[version - 1].second).version,
        version);
  }
  EXPECT_GT(left.transport().counters().bytes_by_purpose.at("applied"), 0U);
  EXPECT_GT(left.transport().counters().bytes_sent, 0U);
  EXPECT_GT(right.transport().counters().bytes_received, 0U);
}

TEST(MeshTransportSend, DifferentKey_IsRefusedAndCounted) {
  TestHost intruder("other");
  TestHost host("key");
  intruder.transport().Send(host.endpoint(), kHeartbeat);
  ASSERT_TRUE(intruder.WaitLost(1));
  EXPECT_EQ(host.received().size(), 0U);
  EXPECT_EQ(intruder.transport().counters().handshakes_refused, 1U);
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (host.transport().counters().handshakes_refused == 0 &&
         std::chrono::steady_clock::now() < deadline)
    std::this_thread::yield();
  EXPECT_EQ(host.transport().counters().handshakes_refused, 1U);
}

TEST(MeshTransportSend, PeerRestarts_Reconnects) {
  TestHost left("key");
  auto right = std::make_unique<TestHost>("key");
  const Endpoint endpoint = right->endpoint();
  left.transport().Send(endpoint, kHeartbeat);
  ASSERT_TRUE(right->WaitReceived(1));
  right.reset();
  ASSERT_TRUE(left.WaitLost(1));
  right = std::make_unique<TestHost>("key", endpoint.port);
  ASSERT_TRUE(right->started()) << right->transport().last_reason();

  // A message is dropped if sent during the backoff delay after a failed
  // attempt.
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  bool arrived = false;
  while (!arrived && std::chrono::steady_clock::now() < deadline) {
    left.transport().Send(endpoint, kHeartbeat);
    std::this_thread::yield();
    arrived = right->transport().counters().bytes_received > 0;
  }
  EXPECT_TRUE(right->WaitReceived(1));
}

// A connection from `left_` to `right_` through a relay, which has carried one
// message.
class MeshTransportSendRelayed : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(relay_.Start()) << relay_.last_reason();
    left_.transport().Send(relay_.endpoint(), kHeartbeat);
    ASSERT_TRUE(right_.WaitReceived(1));
  }

  TestHost left_{"key"};
  TestHost right_{"key"};
  Relay relay_{{.listen = {.address = "127.0.0.1"}, .to = right_.endpoint()}};
};

TEST_F(MeshTransportSendRelayed,
       ConnectionGoesSilent_DeliversOnNewConnectionInTime) {
  // Time within which a host that is in touch applies a change.
  constexpr std::chrono::milliseconds kApplyBound{2000};
  relay_.StallOpen();
  const auto sent = std::chrono::steady_clock::now();
  left_.transport().Send(relay_.endpoint(), AppliedVersions{.version = 9});
  ASSERT_TRUE(right_.WaitReceivedVersions());
  EXPECT_LT(std::chrono::steady_clock::now() - sent, kApplyBound);
  EXPECT_EQ(left_.lost(), 0) << "the peer itself was never out of reach";
}

TEST_F(MeshTransportSendRelayed, PeerNeverAnswers_IsReportedLost) {
  relay_.Cut();
  left_.transport().Send(relay_.endpoint(), kHeartbeat);
  EXPECT_TRUE(left_.WaitLost(1));
}

TEST(MeshTransportSend, ConnectionsAboveLimit_AreClosedAndCounted) {
  TestHost host("key", 0, 1);
  TestHost first("key");
  first.transport().Send(host.endpoint(), kHeartbeat);
  ASSERT_TRUE(host.WaitReceived(1));
  TestHost second("key");
  second.transport().Send(host.endpoint(), kHeartbeat);
  ASSERT_TRUE(second.WaitLost(1));
  EXPECT_EQ(host.transport().counters().handshakes_refused, 1U);
  first.transport().Send(host.endpoint(), kHeartbeat);
  EXPECT_TRUE(host.WaitReceived(2));
}

/// A stranger that connects to a mesh port and sends bytes.
class Stranger {
 public:
  explicit Stranger(const Endpoint& to, const std::string& bytes = {}) {
    socket_.connect({boost::asio::ip::make_address(to.address), to.port});
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }

  /// Waits until the peer closes the connection.
  void AwaitClosed() {
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(received), error);
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_{io_};
};

// Guards against strangers that hold all places: hosts still connect.
TEST(MeshTransportSend, StrangersHoldThePlaces_IsDelivered) {
  TestHost host("key", 0, 2);
  std::list<Stranger> strangers;
  for (int index = 0; index < 5; ++index)
    strangers.emplace_back(host.endpoint());
  TestHost other("key");
  other.transport().Send(host.endpoint(), kHeartbeat);
  EXPECT_TRUE(host.WaitReceived(1));
  EXPECT_GE(host.transport().counters().handshakes_displaced, 4U);
}

// Guards against a stranger that announces a large frame and sends it slowly.
TEST(MeshTransportSend, FrameLongerThanHandshake_IsClosedAndCounted) {
  TestHost host("key");
  // One segment of 65,536 words.
  Stranger stranger(host.endpoint(), std::string("\0\0\0\0\0\0\1\0", 8));
  stranger.AwaitClosed();
  EXPECT_EQ(host.transport().counters().handshakes_too_long, 1U);
}

TEST(MeshTransportStart, PortInUse_FailsWithReason) {
  TestHost left("key");
  TestHost right("key", left.endpoint().port);
  EXPECT_FALSE(right.started());
  EXPECT_FALSE(right.transport().last_reason().empty());
}

}  // namespace
}  // namespace camphor

// Guards against strangers on the listeners for other hosts, the mesh port and
// the forward port: they must not hold memory without bound, nor for longer
// than a bounded time the descriptors and places that other hosts need.

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "harness/slow_crowd.h"
#include "scenario_tests/untrusted_callers/crowd_test.h"

namespace camphor {
namespace {

constexpr std::uint64_t kMebibyte = 1024 * 1024;

/// Only ends tests that hang.
constexpr Milliseconds kMaxWait{75'000};

/// Below the limit of the mesh port (256) and the lowered one of the forward
/// port, so that only limits on time can close all connections.
constexpr unsigned kCrowd = 200;
/// Above both, together with replacements for closed connections.
constexpr unsigned kFlood = 400;

constexpr std::uint64_t kBufferBytes = 4 * kMebibyte;
constexpr unsigned kForwardConnections = 256;
constexpr unsigned kMeshConnections = 256;

/// Twice the buffer budget, for what the allocator rounds up and does not give
/// back, and 8 MiB for what is not a buffer. On the mesh port, which has no
/// part in the budget, this is 64 KiB for each connection and 3.5 MiB.
constexpr std::uint64_t kMaxGrowth = 2 * kBufferBytes + 8 * kMebibyte;

/// Descriptors besides the crowd's: connections to the target, the platform and
/// the other host, and from the test.
constexpr std::size_t kMaxOwnDescriptors = 32;

/// Hosts hear of a configuration over the mesh only: the next read of the
/// platform is a day away.
constexpr char kSettings[] = R"("polling": {"poll_ms": 86400000,
                                            "slow_poll_ms": 86400000},
                                "proxy": {"buffer_bytes": 4194304,
                                          "forward_connections": 256})";

constexpr char kTables[] = R"({
  "routes": [{"name": "served", "path_prefix": "/served", "pool": "p1",
              "repeatable": true}],
  "pools": [{"name": "p1", "version": "v1"}]})";

enum class Conduct : std::uint8_t {
  kMeshSilence,            ///< nothing
  kMeshMalformed,          ///< bytes that are no frame
  kMeshDrippedFrame,       ///< a frame, one byte at a time
  kMeshLargeFrame,         ///< 1 MiB of a frame of just under 8 MB
  kMeshHugeFrame,          ///< a frame whose announced size is 32 GiB
  kMeshHalfHandshake,      ///< the first message, and half of the second one
  kMeshManyRequests,       ///< 20,000 requests whose responses are not read
  kForwardSilence,         ///< nothing
  kForwardMalformed,       ///< bytes that are no request
  kForwardDrippedHeader,   ///< a header field without an end, byte by byte
  kForwardHalfHeader,      ///< 2,000 short fields, and no end of the header
  kForwardBody,            ///< a request with a large body, without a proof
  kForwardRepeatedHello,   ///< one complete handshake message after another,
                           ///< byte by byte, and no proof
  kForwardPipelinedHello,  ///< many of them at once, responses unread
};

bool IsMesh(Conduct conduct) { return conduct < Conduct::kForwardSilence; }

std::string ToBytes(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Returns the request for the interface of the handshake.
std::string BootstrapFrame(std::uint32_t question) {
  capnp::MallocMessageBuilder message;
  message.initRoot<capnp::rpc::Message>().initBootstrap().setQuestionId(
      question);
  return ToBytes(message);
}

/// Returns a call on the interface that question 0 asked for.
std::string CallFrame() {
  capnp::MallocMessageBuilder message;
  auto call = message.initRoot<capnp::rpc::Message>().initCall();
  call.setQuestionId(1);
  call.initTarget().initPromisedAnswer().setQuestionId(0);
  return ToBytes(message);
}

/// Returns the header of a frame with one segment.
std::string FrameHeader(std::uint32_t words) {
  std::string header(4, '\0');
  for (unsigned shift = 0; shift < 32; shift += 8)
    header += static_cast<char>((words >> shift) & 0xFF);
  return header;
}

SlowCrowd::Options MakeCrowd(Conduct conduct) {
  const std::string hello =
      "GET / HTTP/1.1\r\nHost: proxy\r\nX-Camphor-Control: hello\r\n"
      "X-Camphor-Nonce: 0123456789abcdef\r\n\r\n";
  const std::string get = "GET / HTTP/1.1\r\nHost: h\r\n";
  SlowCrowd::Options options;
  switch (conduct) {
    case Conduct::kMeshSilence:
    case Conduct::kForwardSilence:
      break;
    case Conduct::kMeshMalformed:
    case Conduct::kForwardMalformed:
      options.start = std::string(100, '\xFF');
      options.drip = "\xFF";
      break;
    case Conduct::kMeshDrippedFrame:
      options.start = FrameHeader(100);
      options.drip = std::string(1, '\0');
      break;
    case Conduct::kMeshLargeFrame:
      options.start = FrameHeader(1'000'000) + std::string(kMebibyte, 'x');
      break;
    case Conduct::kMeshHugeFrame:
      options.start = FrameHeader(0xFFFFFFFF) + std::string(kMebibyte, 'x');
      break;
    case Conduct::kMeshHalfHandshake: {
      const std::string call = CallFrame();
      options.start = BootstrapFrame(0) + call.substr(0, call.size() / 2);
      break;
    }
    case Conduct::kMeshManyRequests:
      for (std::uint32_t question = 0; question < 20'000; ++question)
        options.start += BootstrapFrame(question);
      options.small_window = true;
      break;
    case Conduct::kForwardDrippedHeader:
      options.start = get + "X-Slow: ";
      options.drip = "x";
      break;
    case Conduct::kForwardHalfHeader:
      options.start = get;
      for (unsigned index = 0; index < 2000; ++index) options.start += "a:\r\n";
      break;
    case Conduct::kForwardBody:
      options.start =
          "POST / HTTP/1.1\r\nHost: h\r\n"
          "Content-Length: 60000000\r\n\r\n" +
          std::string(kMebibyte, 'x');
      options.drip = "x";
      break;
    case Conduct::kForwardRepeatedHello:
      options.drip = hello;
      // A message takes less than the time limit of a header.
      options.interval = Milliseconds(20);
      options.reads = true;
      break;
    case Conduct::kForwardPipelinedHello:
      for (unsigned index = 0; index < 4000; ++index) options.start += hello;
      options.small_window = true;
      break;
  }
  return options;
}

/// Two hosts with a target at the first, whose ports the crowd attacks; callers
/// call at the second.
class HostPortTest : public CrowdTest,
                     public testing::WithParamInterface<Conduct> {
 protected:
  HostPortTest() : CrowdTest(kMaxWait) {}

  void SetUp() override {
    StartFleet(
        {.hosts = 2, .domains = 2, .seeds = 2, .extra_settings = kSettings});
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(IsConfigurationDelivered());
    AwaitServed("h2");
  }

  /// Returns the options of a crowd on the port of the first host.
  SlowCrowd::Options CrowdOptions() {
    SlowCrowd::Options options = MakeCrowd(GetParam());
    options.to =
        IsMesh(GetParam()) ? fleet_->mesh("h1") : fleet_->forward("h1");
    return options;
  }

  /// Whether the first host gets what is applied at the second one.
  bool IsConfigurationDelivered() {
    std::optional<std::uint64_t> version;
    // A host that was just started does not listen yet.
    return WaitUntil(kMaxWait,
                     [&] {
                       version = fleet_->Apply("h2", kTables);
                       return version.has_value();
                     }) &&
           fleet_->AwaitVersion(*version, kMaxWait);
  }
};

using HostPortCrowd = HostPortTest;

TEST_P(HostPortCrowd, NeverAuthenticates_ClosedAndHostsAreServed) {
  SlowCrowd::Options options = CrowdOptions();
  options.connections = kCrowd;
  SlowCrowd crowd(std::move(options));
  crowd.Start();
  crowd.AwaitStarted();
  ExpectCrowdGetsClosed(crowd, kCrowd, kMaxOwnDescriptors);
  EXPECT_TRUE(IsOrdinaryRequestAnswered());
  EXPECT_TRUE(IsReadinessAnswered());
  ASSERT_TRUE(IsConfigurationDelivered()) << fleet_->last_reason();
  ExpectMemoryWithin(kMaxGrowth);
}

using HostPortFlood = HostPortTest;

// The other host is restarted, so that it needs new connections.
TEST_P(HostPortFlood, ReplacesClosedOnes_RestartedHostIsServedMeanwhile) {
  SlowCrowd::Options options = CrowdOptions();
  options.connections = kFlood;
  options.reconnect = Milliseconds(500);
  SlowCrowd crowd(std::move(options));
  crowd.Start();
  crowd.AwaitStarted();
  fleet_->RemoveProcess("h2");
  // Waits until the crowd has taken the place of each connection that ended.
  const std::uint64_t opened = crowd.opened();
  ASSERT_TRUE(
      WaitUntil(kMaxWait, [&] { return crowd.opened() >= opened + kFlood; }));
  const auto during = Usage();
  ASSERT_TRUE(during.has_value());
  EXPECT_LE(during->descriptors, before_->descriptors + kMeshConnections +
                                     kForwardConnections + kMaxOwnDescriptors);
  ASSERT_TRUE(fleet_->StartHost("h2"));
  ASSERT_TRUE(IsConfigurationDelivered()) << fleet_->last_reason();
  EXPECT_TRUE(IsOrdinaryRequestAnswered());
  EXPECT_TRUE(IsReadinessAnswered());
  ExpectMemoryWithin(kMaxGrowth);
}

std::string NameOf(const testing::TestParamInfo<Conduct>& info) {
  constexpr const char* kNames[] = {
      "MeshSilence",          "MeshMalformed",         "MeshDrippedFrame",
      "MeshLargeFrame",       "MeshHugeFrame",         "MeshHalfHandshake",
      "MeshManyRequests",     "ForwardSilence",        "ForwardMalformed",
      "ForwardDrippedHeader", "ForwardHalfHeader",     "ForwardBody",
      "ForwardRepeatedHello", "ForwardPipelinedHello",
  };
  return kNames[static_cast<std::size_t>(info.param)];
}

INSTANTIATE_TEST_SUITE_P(
    Strangers, HostPortCrowd,
    testing::Values(Conduct::kMeshSilence, Conduct::kMeshMalformed,
                    Conduct::kMeshDrippedFrame, Conduct::kMeshLargeFrame,
                    Conduct::kMeshHugeFrame, Conduct::kMeshHalfHandshake,
                    Conduct::kMeshManyRequests, Conduct::kForwardSilence,
                    Conduct::kForwardMalformed, Conduct::kForwardDrippedHeader,
                    Conduct::kForwardHalfHeader, Conduct::kForwardBody,
                    Conduct::kForwardRepeatedHello,
                    Conduct::kForwardPipelinedHello),
    NameOf);
INSTANTIATE_TEST_SUITE_P(Strangers, HostPortFlood,
                         testing::Values(Conduct::kMeshSilence,
                                         Conduct::kMeshDrippedFrame,
                                         Conduct::kMeshLargeFrame,
                                         Conduct::kForwardSilence,
                                         Conduct::kForwardHalfHeader,
                                         Conduct::kForwardRepeatedHello),
                         NameOf);

}  // namespace
}  // namespace camphor

// Guards against connections that send or read one byte at a time, often enough
// that no timeout without progress ends them: they must not hold the memory,
// the descriptors or the places of a host for longer than a bounded time.

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "harness/slow_crowd.h"
#include "scenario_tests/untrusted_callers/crowd_test.h"

namespace camphor {
namespace {

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = 1024 * kKibibyte;

/// Only ends tests that hang. The time limits below are far lower.
constexpr Milliseconds kMaxWait{75'000};

/// Limits of the callers' listener. That of the admin listener is
/// `admin.timeout_ms` of the settings.
constexpr char kTables[] = R"({
  "routes": [{"name": "served", "path_prefix": "/served", "pool": "p1",
              "repeatable": true, "timeout_ms": 2000}],
  "pools": [{"name": "p1", "version": "v1"}],
  "limits": {"header_bytes": 16384, "body_bytes": 4194304,
             "header_timeout_ms": 1000, "idle_timeout_ms": 2000}})";

/// What is dripped.
enum class Conduct : std::uint8_t {
  kHeader,     ///< a header field without an end
  kBody,       ///< a body of legal size
  kChunks,     ///< chunks of one byte
  kResponses,  ///< the reading of large or many responses
};

/// Where the requests go.
enum class Place : std::uint8_t {
  kServedPath,     ///< a path with a route, on the callers' listener
  kNoRoute,        ///< a path without one
  kReadinessPath,  ///< /readyz on the admin listener
};

std::string_view Path(Place place) {
  switch (place) {
    case Place::kServedPath:
      return "/served/1";
    case Place::kNoRoute:
      return "/nowhere";
    case Place::kReadinessPath:
      return "/readyz";
  }
  return "";
}

SlowCrowd::Options MakeCrowd(Conduct conduct, Place place) {
  const std::string path(Path(place));
  const std::string get = "GET " + path + " HTTP/1.1\r\nHost: h\r\n";
  const std::string post = "POST " + path + " HTTP/1.1\r\nHost: h\r\n";
  SlowCrowd::Options options;
  switch (conduct) {
    case Conduct::kHeader:
      options.start = get + "X-Slow: ";
      options.drip = "x";
      break;
    case Conduct::kBody:
      options.start = post + "Content-Length: 1000000\r\n\r\n";
      options.drip = "x";
      break;
    case Conduct::kChunks:
      options.start = post + "Transfer-Encoding: chunked\r\n\r\n";
      options.drip = "1\r\nx\r\n";
      break;
    case Conduct::kResponses:
      // Large responses, or as many small ones as fill the connection.
      if (place == Place::kServedPath) {
        for (unsigned index = 0; index < 4; ++index)
          options.start += get + "X-Answer-Bytes: 1000000\r\n\r\n";
      } else {
        for (unsigned index = 0; index < 4000; ++index)
          options.start += get + "\r\n";
      }
      options.reads = true;
      options.small_window = true;
      break;
  }
  return options;
}

std::string NameOf(
    const testing::TestParamInfo<std::tuple<Conduct, Place>>& info) {
  constexpr const char* kConducts[] = {"Header", "Body", "Chunks", "Responses"};
  constexpr const char* kPlaces[] = {"ServedPath", "NoRoute", "ReadinessPath"};
  const auto [conduct, place] = info.param;
  return std::string(kConducts[static_cast<std::size_t>(conduct)]) + "At" +
         kPlaces[static_cast<std::size_t>(place)];
}

/// One host with a target, and its usage before the crowd came.
class SlowDripsTest
    : public CrowdTest,
      public testing::WithParamInterface<std::tuple<Conduct, Place>> {
 protected:
  SlowDripsTest() : CrowdTest(kMaxWait) {}

  void StartHost(std::string settings) {
    StartFleet({.hosts = 1,
                .domains = 1,
                .seeds = 1,
                .extra_settings = std::move(settings)});
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(fleet_->Apply("h1", kTables)) << fleet_->last_reason();
    AwaitServed("h1");
  }

  Endpoint Listener(Place place) const {
    return place == Place::kReadinessPath ? fleet_->admin("h1")
                                          : fleet_->caller("h1");
  }
};

/// The crowd stays below the limits on connections and on buffers, so that only
/// limits on time can close its connections.
class SlowDripsCrowd : public SlowDripsTest {
 protected:
  static constexpr unsigned kCrowd = 200;
  /// A connection may hold a header, the prefix of a body, a part of a response
  /// and what it needs itself, 16 KiB each. 8 MiB are for the host's own work.
  static constexpr std::uint64_t kMaxGrowth =
      kCrowd * 64 * kKibibyte + 8 * kMebibyte;
  /// Descriptors besides the crowd's: connections to the target and the
  /// platform, and from the test.
  static constexpr std::size_t kMaxOwnDescriptors = 32;

  void SetUp() override {
    StartHost(R"("admin": {"connections": 256, "timeout_ms": 3000})");
  }
};

TEST_P(SlowDripsCrowd, NeverEndsByItself_ClosedAndOthersAreServed) {
  const auto [conduct, place] = GetParam();
  SlowCrowd::Options options = MakeCrowd(conduct, place);
  options.to = Listener(place);
  options.connections = kCrowd;
  SlowCrowd crowd(std::move(options));
  crowd.Start();
  crowd.AwaitStarted();
  ExpectCrowdGetsClosed(crowd, kCrowd, kMaxOwnDescriptors);
  EXPECT_TRUE(IsOrdinaryRequestAnswered());
  EXPECT_TRUE(IsReadinessAnswered());
  ExpectMemoryWithin(kMaxGrowth);
}

/// The crowd exceeds lowered limits on connections and on buffers, and replaces
/// each connection that is closed.
class SlowDripsFlood : public SlowDripsTest {
 protected:
  static constexpr unsigned kCrowd = 400;
  static constexpr std::uint64_t kBufferBytes = 4 * kMebibyte;
  static constexpr unsigned kCallerConnections = 256;
  static constexpr unsigned kAdminConnections = 64;
  /// As for the other crowds: twice the buffers, for what the allocator rounds
  /// up and does not give back, and 8 MiB for what is not a buffer.
  static constexpr std::uint64_t kMaxGrowth = 2 * kBufferBytes + 8 * kMebibyte;
  /// The connections that the limits allow, and 64 for connections to the
  /// target and the platform.
  static constexpr std::size_t kMaxMoreDescriptors =
      kCallerConnections + kAdminConnections + 64;

  void SetUp() override {
    StartHost(R"("proxy": {"buffer_bytes": 4194304,
                            "caller_connections": 256},
                  "admin": {"connections": 64, "body_bytes": 1048576,
                            "timeout_ms": 3000})");
  }
};

TEST_P(SlowDripsFlood, ReplacesClosedOnes_OthersAreServedMeanwhile) {
  const auto [conduct, place] = GetParam();
  SlowCrowd::Options options = MakeCrowd(conduct, place);
  options.to = Listener(place);
  options.connections = kCrowd;
  options.reconnect = Milliseconds(500);
  SlowCrowd crowd(std::move(options));
  crowd.Start();
  crowd.AwaitStarted();
  const auto during = Usage();
  ASSERT_TRUE(during.has_value());
  EXPECT_LE(during->descriptors, before_->descriptors + kMaxMoreDescriptors);
  EXPECT_TRUE(IsOrdinaryRequestAnswered());
  EXPECT_TRUE(IsReadinessAnswered());
  ExpectMemoryWithin(kMaxGrowth);
}

const auto kAllDrips =
    testing::Combine(testing::Values(Conduct::kHeader, Conduct::kBody,
                                     Conduct::kChunks, Conduct::kResponses),
                     testing::Values(Place::kServedPath, Place::kNoRoute,
                                     Place::kReadinessPath));

INSTANTIATE_TEST_SUITE_P(Drips, SlowDripsCrowd, kAllDrips, NameOf);
INSTANTIATE_TEST_SUITE_P(Drips, SlowDripsFlood, kAllDrips, NameOf);

}  // namespace
}  // namespace camphor

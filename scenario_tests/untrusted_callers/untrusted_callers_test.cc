// Guards against callers that exhaust the memory or the descriptors of a host,
// or that keep it from serving others. Each test plays one crowd against a real
// camphord process.

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "harness/caller_crowd.h"
#include "scenario_tests/untrusted_callers/crowd_test.h"
#include "stand_ins/http/http_connection.h"

namespace camphor {
namespace {

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = 1024 * kKibibyte;

// Limits of the host under test, lower than the defaults so that a few hundred
// connections reach them.
constexpr std::uint64_t kBufferBytes = 4 * kMebibyte;
constexpr unsigned kCallerConnections = 256;
constexpr unsigned kAdminConnections = 64;
constexpr std::uint64_t kAdminBodyBytes = kMebibyte;
constexpr std::uint64_t kCallerBodyBytes = 4 * kMebibyte;

/// Growth of the highest resident memory that the crowd may cause: twice the
/// buffer budget, for what the allocator rounds up and does not give back, and
/// 8 MiB for what is not a buffer (sessions, timers, queues of log lines and of
/// samples, and the host's own work meanwhile).
constexpr std::uint64_t kMaxGrowth = 2 * kBufferBytes + 8 * kMebibyte;

/// Descriptors that the crowd may cause to be opened: the connections that the
/// limits allow, and 64 for connections to the target and the platform.
constexpr std::size_t kMaxMoreDescriptors =
    kCallerConnections + kAdminConnections + 64;

constexpr unsigned kCrowd = 400;

/// Only ends tests that hang.
constexpr Milliseconds kMaxWait{60'000};

constexpr char kTables[] = R"({
  "routes": [{"name": "served", "path_prefix": "/served", "pool": "p1",
              "repeatable": true}],
  "pools": [{"name": "p1", "version": "v1"}],
  "limits": {"header_bytes": 16384, "body_bytes": 4194304,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

/// What the connections of a crowd send.
enum class Conduct : std::uint8_t {
  kBodyInOnePiece,     ///< a legal body without its last byte
  kBodyInPieces,       ///< the same in pieces of 512 bytes
  kBodyInChunks,       ///< the same in the chunked encoding, without an end
  kBodyFarOverLimit,   ///< a body of 100 times the limit
  kChunksOverLimit,    ///< chunks beyond the limit
  kEndlessChunkHead,   ///< a chunk extension that does not end
  kManyShortFields,    ///< a legal header of 4,000 fields, half of a body
  kHalfHeader,         ///< 2,000 short fields, and no end of the header
  kPipelinedRequests,  ///< 500 requests whose responses are not read
  kLargeResponses,     ///< requests for large responses that are not read
  kSilence,            ///< nothing
};

/// Where the requests go.
enum class Place : std::uint8_t {
  kServedPath,     ///< a path with a route, on the callers' listener
  kNoRoute,        ///< a path without one
  kReadinessPath,  ///< GET or POST /readyz on the admin listener
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

std::string ShortFields(unsigned count) {
  std::string fields;
  for (unsigned index = 0; index < count; ++index) fields += "a:\r\n";
  return fields;
}

std::string Chunks(std::uint64_t bytes) {
  constexpr std::uint64_t kChunk = 1000;
  const std::string chunk = "3e8\r\n" + std::string(kChunk, 'x') + "\r\n";
  std::string text;
  for (std::uint64_t sent = 0; sent < bytes; sent += kChunk) text += chunk;
  return text;
}

/// Returns what one connection sends. Bodies have `body_bytes`, which is within
/// the limit of the listener.
std::string MakeBytes(Conduct conduct, Place place, std::uint64_t body_bytes) {
  const std::string path(Path(place));
  const std::string get = "GET " + path + " HTTP/1.1\r\nHost: h\r\n";
  const std::string post = "POST " + path + " HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  const auto length = [](std::uint64_t bytes) {
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
  };
  std::string text;
  switch (conduct) {
    case Conduct::kBodyInOnePiece:
    case Conduct::kBodyInPieces:
      return post + length(body_bytes) + std::string(body_bytes - 1, 'x');
    case Conduct::kBodyInChunks:
      return chunked + Chunks(body_bytes - 1000);
    case Conduct::kBodyFarOverLimit:
      return post + length(100 * kCallerBodyBytes) +
             std::string(body_bytes, 'x');
    case Conduct::kChunksOverLimit:
      return chunked + Chunks(2 * body_bytes);
    case Conduct::kEndlessChunkHead:
      return chunked + "3e8;" + std::string(body_bytes, 'x');
    case Conduct::kManyShortFields:
      return post + ShortFields(4000) + length(8) + "half";
    case Conduct::kHalfHeader:
      return get + ShortFields(2000);
    case Conduct::kPipelinedRequests:
      for (unsigned index = 0; index < 500; ++index) text += get + "\r\n";
      return text;
    case Conduct::kLargeResponses:
      for (unsigned index = 0; index < 16; ++index)
        text += get + "X-Answer-Bytes: 1000000\r\n\r\n";
      return text;
    case Conduct::kSilence:
      return "";
  }
  return "";
}

/// One host with a target, and its usage before the crowd came.
class UntrustedCallersTest : public CrowdTest {
 protected:
  UntrustedCallersTest() : CrowdTest(kMaxWait) {}

  void SetUp() override {
    StartFleet({.hosts = 1,
                .domains = 1,
                .seeds = 1,
                .extra_settings = R"("proxy": {"buffer_bytes": 4194304,
                                       "caller_connections": 256},
                             "admin": {"connections": 64,
                                       "body_bytes": 1048576})"});
    ASSERT_FALSE(HasFatalFailure());
    ASSERT_TRUE(fleet_->Apply("h1", kTables)) << fleet_->last_reason();
    AwaitServed("h1");
  }
};

class UntrustedCallersCrowd
    : public UntrustedCallersTest,
      public testing::WithParamInterface<std::tuple<Conduct, Place>> {};

TEST_P(UntrustedCallersCrowd, StaysOpen_BoundsHoldAndOrdinaryCallerIsServed) {
  const auto [conduct, place] = GetParam();
  const bool admin = place == Place::kReadinessPath;
  CallerCrowd crowd(
      {.to = admin ? fleet_->admin("h1") : fleet_->caller("h1"),
       .connections = kCrowd,
       .bytes = MakeBytes(conduct, place, admin ? kAdminBodyBytes : kMebibyte),
       .piece_bytes = conduct == Conduct::kBodyInPieces ? 512U : 0U});
  crowd.Play();
  const auto during = Usage();
  EXPECT_TRUE(IsOrdinaryRequestAnswered());
  EXPECT_TRUE(IsReadinessAnswered());
  ASSERT_TRUE(fleet_->process("h1")->running());
  const auto after = Usage();
  ASSERT_TRUE(during.has_value() && after.has_value());
  RecordProperty("before_bytes", std::to_string(before_->peak_bytes));
  RecordProperty("peak_bytes", std::to_string(after->peak_bytes));
  EXPECT_LE(after->peak_bytes - before_->peak_bytes, kMaxGrowth);
  EXPECT_LE(during->descriptors, before_->descriptors + kMaxMoreDescriptors);
}

std::string NameOf(
    const testing::TestParamInfo<std::tuple<Conduct, Place>>& info) {
  constexpr const char* kConducts[] = {
      "BodyInOnePiece",   "BodyInPieces",    "BodyInChunks",
      "BodyFarOverLimit", "ChunksOverLimit", "EndlessChunkHead",
      "ManyShortFields",  "HalfHeader",      "PipelinedRequests",
      "LargeResponses",   "Silence"};
  constexpr const char* kPlaces[] = {"ServedPath", "NoRoute", "ReadinessPath"};
  const auto [conduct, place] = info.param;
  return std::string(kConducts[static_cast<std::size_t>(conduct)]) + "At" +
         kPlaces[static_cast<std::size_t>(place)];
}

INSTANTIATE_TEST_SUITE_P(
    Crowd, UntrustedCallersCrowd,
    testing::Combine(
        testing::Values(Conduct::kBodyInOnePiece, Conduct::kBodyInPieces,
                        Conduct::kBodyInChunks, Conduct::kBodyFarOverLimit,
                        Conduct::kChunksOverLimit, Conduct::kEndlessChunkHead,
                        Conduct::kManyShortFields, Conduct::kHalfHeader,
                        Conduct::kPipelinedRequests, Conduct::kLargeResponses,
                        Conduct::kSilence),
        testing::Values(Place::kServedPath, Place::kNoRoute,
                        Place::kReadinessPath)),
    NameOf);

using UntrustedCallersCalm = UntrustedCallersTest;

// Guards against limits that refuse what the operator allows.
TEST_F(UntrustedCallersCalm, LargestRequest_IsServedWithinBuffers) {
  constexpr std::uint64_t kLargestBody = 64 * kMebibyte;
  ASSERT_TRUE(fleet_->Apply("h1", R"({
    "routes": [{"name": "served", "path_prefix": "/served", "pool": "p1",
                "repeatable": true, "timeout_ms": 60000}],
    "pools": [{"name": "p1", "version": "v1"}],
    "limits": {"header_bytes": 16384, "body_bytes": 67108864,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})"))
      << fleet_->last_reason();
  // With the request line and the other fields, close to 16,384 bytes.
  const auto response =
      HttpConnection(fleet_->caller("h1"))
          .Call({.method = "POST",
                 .target = "/served/3",
                 .fields = {{"host", "h"},
                            {"x-request-id", "r3"},
                            {"x-filler", std::string(16'000, 'x')}},
                 .body = std::string(kLargestBody, 'x')},
                kMaxWait);
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->status, 200) << response->body;
  const auto after = Usage();
  ASSERT_TRUE(after.has_value());
  EXPECT_LE(after->peak_bytes - before_->peak_bytes, kMaxGrowth);
}

// Guards against a limit on fields that refuses a header of legal size.
TEST_F(UntrustedCallersCalm, HeaderOfShortFields_IsServed) {
  HttpFields fields{{"host", "h"}, {"x-request-id", "r4"}};
  for (unsigned index = 0; index < 1500; ++index)
    fields["f" + std::to_string(index)] = "";
  const auto response =
      HttpConnection(fleet_->caller("h1"))
          .Call({.method = "GET", .target = "/served/4", .fields = fields},
                kMaxWait);
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->status, 200) << response->body;
}

}  // namespace
}  // namespace camphor

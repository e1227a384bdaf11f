#include <atomic>
#include <chrono>
#include <utility>

#include "unit_tests/proxy/vocabulary_fixture.h"

namespace camphor {
namespace {

using TargetFaults = ProxyVocabulary;

// A target that refuses the first request on each connection, and repeats the
// refusal before its response to the second one.
ScriptedTarget::Script RepeatRefusal(const std::string& refusal_headers,
                                     std::atomic<int>& runs) {
  return [refusal_headers,
          &runs](const std::string& request) -> ScriptedResponse {
    const std::string refusal = MakeResponse(
        "503 Service Unavailable", "T-Not-Run: 1\r\n" + refusal_headers, "");
    const std::string id = FindHeaderValue(request, "T-Id");
    if (id == "first") return {refusal};
    ++runs;
    return {refusal + MakeResponse("200 OK",
                                   "T-Id: " + id + "\r\nT-Receipt: r\r\n",
                                   "body")};
  };
}

TEST_F(TargetFaults, RefusalOfEarlierRequestRepeated_IsNoRefusalOfThisOne) {
  std::atomic<int> runs = 0;
  Start("h2", RepeatRefusal("T-Id: first\r\n", runs));
  ASSERT_EQ(Get("first")->status, 503);
  const auto response = Get("second");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "body");
}

TEST_F(TargetFaults, RefusalWithoutIdRepeated_IsNotReportedAsNotRun) {
  std::atomic<int> runs = 0;
  Start("h2", RepeatRefusal("", runs));
  ASSERT_EQ(Get("first")->status, 503);
  const auto response = Get("second");
  ASSERT_TRUE(response);
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(response->status, 502);
}

// The same attempt may come to the same target again, on the connection on
// which it was refused before.
TEST_F(TargetFaults, RefusalOfSameRequestRepeated_IsNotReportedAsNotRun) {
  std::atomic<int> requests = 0;
  Start("h2", [&](const std::string& request) -> ScriptedResponse {
    const std::string id = "T-Id: " + FindHeaderValue(request, "T-Id") + "\r\n";
    const std::string refusal =
        MakeResponse("503 Service Unavailable", "T-Not-Run: 1\r\n" + id, "");
    if (++requests == 1) return {refusal};
    return {refusal + MakeResponse("200 OK", id + "T-Receipt: r\r\n", "body")};
  });
  ASSERT_EQ(Get("same")->status, 503);
  EXPECT_EQ(Get("same")->status, 502);
  EXPECT_EQ(requests, 2);
}

// Bytes without end: much more than any response here has, and no time to read
// them all.
constexpr std::size_t kManyBytes = 64UL << 20;

std::string Endless(const std::string& piece) {
  std::string bytes;
  bytes.reserve(kManyBytes + piece.size());
  while (bytes.size() < kManyBytes) bytes += piece;
  return bytes;
}

class EndlessBytes
    : public TargetFaults,
      public testing::WithParamInterface<std::pair<const char*, const char*>> {
};

TEST_P(EndlessBytes, RequestFailsLongBeforeItsDeadline) {
  const auto& [head, piece] = GetParam();
  const std::string bytes = head + Endless(piece);
  Start("h2", [&bytes](const std::string&) -> ScriptedResponse {
    return {.bytes = bytes, .close = true};
  });
  const auto start = std::chrono::steady_clock::now();
  const auto response =
      Call({.method = "GET",
            .target = "/post/x",
            .fields = {{"t-id", "a"}, {"t-deadline", "20000"}}});
  EXPECT_TRUE(!response || response->status == 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, Seconds(10));
  // What the kernel's buffers hold, and not all that the target has to say.
  EXPECT_LT(target_->bytes_written(), kManyBytes / 4);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, EndlessBytes,
    testing::Values(
        std::pair("HTTP/1.1 200 OK\r\nX: ", "aaaaaaaaaaaaaaaa"),
        std::pair("", "HTTP/1.1 102 Processing\r\n\r\n"),
        std::pair("HTTP/1.1 200 OK\r\nT-Id: other\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n",
                  "8\r\nabcdefgh\r\n"),
        std::pair("HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Receipt: r\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n1;",
                  "extension")));

}  // namespace
}  // namespace camphor

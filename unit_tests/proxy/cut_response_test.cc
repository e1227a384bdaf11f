#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "unit_tests/proxy/vocabulary_fixture.h"

namespace camphor {
namespace {

constexpr std::size_t kCallsAtATime = 16;

/// One way in which a target frames its response.
struct Framing {
  std::string name;
  std::string bytes;        ///< the whole response; "ID" stands for the id
  std::size_t first_whole;  ///< bytes from which on a close may end it
};

std::size_t HeadSize(const std::string& bytes) {
  return bytes.rfind("\r\n\r\n") + 4;
}

std::vector<Framing> AllFramings() {
  const std::string fields = "T-Id: ID\r\nT-Receipt: r\r\n";
  const std::string length =
      "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nwhole";
  const std::string chunked = "HTTP/1.1 200 OK\r\n" + fields +
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n";
  const std::string unframed = "HTTP/1.1 200 OK\r\n" + fields + "\r\nwhole";
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n" + length;
  const std::string empty = "HTTP/1.1 204 No Content\r\n" + fields + "\r\n";
  return {{"length", length, length.size()},
          {"chunked", chunked, chunked.size()},
          {"unframed", unframed, HeadSize(unframed)},
          {"interim", interim, interim.size()},
          {"empty", empty, empty.size()}};
}

/// A target that breaks off its response at a byte that the request's id names,
/// as FRAMING:BYTE.
class CutResponse : public ProxyVocabulary {
 protected:
  void StartCuttingTarget(const std::string& host) {
    pool_.slots_per_target = 64;
    Start(host, [this](const std::string& request) -> ScriptedResponse {
      const std::string id = FindHeaderValue(request, "T-Id");
      const std::size_t colon = id.find(':');
      std::string bytes = framings_[std::stoul(id.substr(0, colon))].bytes;
      const std::size_t at = bytes.find("ID");
      const std::size_t cut = std::stoul(id.substr(colon + 1));
      // Positions count in the text before the id is filled in.
      const std::size_t growth = cut > at ? id.size() - 2 : 0;
      bytes.replace(at, 2, id);
      return {.bytes = bytes.substr(0, cut + growth), .close = true};
    });
  }

  void CutAtEachByte(std::size_t framing) {
    const Framing& cut = framings_[framing];
    for (std::size_t at = 0; at < cut.first_whole; at += kCallsAtATime) {
      std::vector<std::future<std::optional<HttpResponse>>> calls;
      const std::size_t end = std::min(at + kCallsAtATime, cut.first_whole);
      for (std::size_t byte = at; byte < end; ++byte) {
        calls.push_back(std::async(std::launch::async, [this, framing, byte] {
          return CallCut(framing, byte);
        }));
      }
      for (std::size_t byte = at; byte < end; ++byte) {
        const auto response = calls[byte - at].get();
        EXPECT_TRUE(!response || response->status == 502)
            << cut.name << " cut at byte " << byte << ": " << response->status;
      }
    }
  }

  std::optional<HttpResponse> CallCut(std::size_t framing, std::size_t byte) {
    return Call({.method = "GET",
                 .target = "/post/x",
                 .fields = {{"t-id", std::to_string(framing) + ":" +
                                         std::to_string(byte)},
                            {"t-deadline", "5000"}}});
  }

  void AwaitClosed(std::size_t connections) const {
    const MonoTime end = std::chrono::steady_clock::now() + Seconds(10);
    while (target_->closed() < connections &&
           std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(Milliseconds(1));
    ASSERT_GE(target_->closed(), connections);
  }

  const std::vector<Framing> framings_ = AllFramings();
};

TEST_F(CutResponse, TargetOfThisHost_NoPartIsTakenForSuccess) {
  StartCuttingTarget("h1");
  for (std::size_t framing = 0; framing < framings_.size(); ++framing)
    CutAtEachByte(framing);
}

TEST_F(CutResponse, TargetOfAnotherHost_NoPartIsTakenForSuccess) {
  StartCuttingTarget("h2");
  for (std::size_t framing = 0; framing < framings_.size(); ++framing)
    CutAtEachByte(framing);
}

TEST_F(CutResponse, WholeResponses_AreRelayed) {
  StartCuttingTarget("h2");
  for (std::size_t framing = 0; framing < framings_.size(); ++framing) {
    const Framing& whole = framings_[framing];
    const auto response = CallCut(framing, whole.bytes.size());
    ASSERT_TRUE(response) << whole.name;
    EXPECT_EQ(response->status / 100, 2) << whole.name;
    // A request that is sent while the target closes its connection has an
    // unknown outcome, whatever the framing of the response before it.
    AwaitClosed(framing + 1);
  }
}

TEST_F(CutResponse, RepeatableRequest_AnotherTargetAnswers) {
  ScriptedTarget whole([](const std::string& request) -> ScriptedResponse {
    return {MakeResponse(
        "200 OK",
        "T-Id: " + FindHeaderValue(request, "T-Id") + "\r\nT-Receipt: r\r\n",
        "whole")};
  });
  AddTargetAt("h2", "t2", whole.endpoint());
  StartCuttingTarget("h2");
  // As many as the retry budget of a host allows at its start.
  constexpr int kCalls = 4;
  for (int call = 0; call < kCalls; ++call) {
    // Cut within the body.
    const std::size_t at = framings_[0].bytes.size() - 2;
    const auto response = Call({.method = "GET",
                                .target = "/get/x",
                                .fields = {{"t-id", "0:" + std::to_string(at)},
                                           {"t-deadline", "5000"}}});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "whole");
  }
  EXPECT_EQ(Metric("h1", "retries_denied"), 0U);
  TearDown();
}

}  // namespace
}  // namespace camphor

#include <string>

#include "unit_tests/proxy/vocabulary_fixture.h"

namespace camphor {
namespace {

TEST_F(ProxyVocabulary, TargetOfAnotherHost_ReceivesHeadersSetByTheProxies) {
  std::string seen;
  Start("h2", [&](const std::string& request) -> ScriptedResponse {
    seen = request;
    return {MakeResponse("200 OK", "T-Id: a\r\nT-Receipt: r\r\n", "body")};
  });
  const auto response = Call({.method = "GET",
                              .target = "/post/x",
                              .fields = {{"t-id", "a"},
                                         {"t-deadline", "2000"},
                                         {"t-caller", "forged"},
                                         {"t-expected", "forged"}}});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "body");
  EXPECT_EQ(response->fields.at("t-receipt"), "r");
  EXPECT_EQ(FindHeaderValue(seen, "T-Expected"), "t1");
  EXPECT_EQ(FindHeaderValue(seen, "T-Caller"), "callers");
  const int left = std::stoi(FindHeaderValue(seen, "T-Deadline"));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 2000);
  EXPECT_EQ(seen.find("X-Camphor-"), std::string::npos);
}

TEST_F(ProxyVocabulary, LateResponseToAnotherRequest_IsSkipped) {
  Start("h1", [](const std::string& request) -> ScriptedResponse {
    const std::string id = FindHeaderValue(request, "T-Id");
    return {
        MakeResponse("200 OK", "T-Id: earlier\r\nT-Receipt: r\r\n", "wrong") +
        MakeResponse("200 OK", "T-Id: " + id + "\r\nT-Receipt: r\r\n",
                     "right")};
  });
  for (const char* id : {"one", "two"}) {
    const auto response = Get(id);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "right");
    EXPECT_EQ(response->fields.at("t-id"), id);
  }
}

TEST_F(ProxyVocabulary, SuccessWithoutReceipt_IsRejected) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("200 OK", "T-Id: a\r\n", "body")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
  EXPECT_FALSE(response->fields.contains("t-id"));
}

TEST_F(ProxyVocabulary, SuccessWithoutRequestId_IsRejected) {
  Start("h1", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("200 OK", "T-Receipt: r\r\n", "body")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
}

TEST_F(ProxyVocabulary, EncodedResponse_IsRejected) {
  Start("h1", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse(
        "200 OK", "T-Id: a\r\nT-Receipt: r\r\nContent-Encoding: gzip\r\n",
        "body")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 502);
}

TEST_F(ProxyVocabulary, TargetFailure_IsRelayedWithItsReceipt) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("500 Internal Server Error",
                         "T-Id: a\r\nT-Receipt: r\r\n", "why")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 500);
  EXPECT_EQ(response->body, "why");
  EXPECT_EQ(response->fields.at("t-receipt"), "r");
}

TEST_F(ProxyVocabulary, MisdirectedRequest_IsRefusedAsNotRun) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("421 Misdirected Request", "", "")};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->fields.at("x-camphor-reason"), "refused");
  EXPECT_EQ(response->fields.at("retry-after"), "0.050");
}

TEST_F(ProxyVocabulary, ResponseDelimitedByClose_IsRelayedCompletely) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {"HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Receipt: r\r\n\r\nall of it",
            true};
  });
  const auto response = Get("a");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "all of it");
}

TEST_F(ProxyVocabulary, ResponseEndedByReset_IsNotComplete) {
  Start("h2", [](const std::string&) -> ScriptedResponse {
    return {.bytes = "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Receipt: r\r\n\r\npart",
            .reset = true};
  });
  const auto response = Get("a");
  EXPECT_TRUE(!response || response->status == 502);
}

TEST_F(ProxyVocabulary, BodyOverTheConfiguredLimit_IsRefused) {
  caller_limits_.body_bytes = 8;
  Start("h1", [](const std::string&) -> ScriptedResponse {
    return {MakeResponse("200 OK", "T-Id: a\r\nT-Receipt: r\r\n", "")};
  });
  const auto response =
      Call({.method = "POST", .target = "/post/x", .body = "more than that"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 413);
}

}  // namespace
}  // namespace camphor

#include "stand_ins/target/target_stand_in.h"

#include <gtest/gtest.h>

#include <future>

#include "stand_ins/http/http_connection.h"
#include "stand_ins/target/answer_body.h"

namespace camphor {
namespace {

class TargetStandInTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(target_.Start()) << target_.last_reason();
    connection_.emplace(target_.endpoint());
  }

  HttpResponse Call(const HttpRequest& request) {
    auto answer = connection_->Call(request);
    EXPECT_TRUE(answer) << connection_->last_reason();
    return answer.value_or(HttpResponse{.status = 0});
  }

  TargetStandIn target_{{.id = "t1", .version = "v1", .slots = 1}};
  std::optional<HttpConnection> connection_;
};

TEST_F(TargetStandInTest, Request_GetsOwnResponseOfRequestedLength) {
  for (const char* chunked : {"", "1"}) {
    const HttpResponse answer =
        Call({.method = "POST",
              .target = "/x",
              .fields = {{"X-Request-Id", "r7"},
                         {"X-Answer-Bytes", "100000"},
                         {"X-Answer-Chunked", chunked}}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, AnswerBody("r7", 100000));
    EXPECT_EQ(answer.chunked, chunked[0] != '\0');
  }
}

// Guards against a body after the response to HEAD, which the next response on
// the connection would be mistaken for.
TEST_F(TargetStandInTest, HeadRequest_GetsLengthWithoutBody) {
  for (const char* chunked : {"", "1"}) {
    HttpResponse answer = Call({.method = "HEAD",
                                .target = "/x",
                                .fields = {{"X-Request-Id", "r8"},
                                           {"X-Answer-Bytes", "100"},
                                           {"X-Answer-Chunked", chunked}}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.fields["content-length"], "100");
    EXPECT_EQ(answer.body, "");
    answer =
        Call({.method = "GET",
              .target = "/x",
              .fields = {{"X-Request-Id", "r9"}, {"X-Answer-Bytes", "100"}}});
    EXPECT_EQ(answer.body, AnswerBody("r9", 100));
  }
}

TEST_F(TargetStandInTest, AllSlotsInUse_ShedsRequestAsNotRun) {
  std::promise<void> ended;
  std::thread first([&] {
    HttpConnection other(target_.endpoint());
    other.Call({.method = "GET",
                .target = "/slow",
                .fields = {{"X-Work-Ms", "60000"}, {"X-Request-Id", "slow"}}},
               Milliseconds(500));
    ended.set_value();
  });
  HttpResponse answer;
  do {
    answer = Call({.method = "GET", .target = "/load"});
  } while (answer.body.find("\"in_flight\":1") == std::string::npos);
  answer = Call({.method = "GET", .target = "/x"});
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.fields["x-camphor-not-run"], "true");
  EXPECT_EQ(Call({.method = "GET", .target = "/control/runs"})
                    .body.find("\"total\":1") == std::string::npos,
            false);
  first.join();
}

TEST_F(TargetStandInTest, FaultOnOneRoute_FailsOnlyThatRoute) {
  EXPECT_EQ(
      Call({.method = "POST",
            .target = "/control",
            .body =
                R"({"faults": [{"prefix": "/rare", "error_ppm": 1000000}]})"})
          .status,
      200);
  EXPECT_EQ(Call({.method = "GET", .target = "/rare/1"}).status, 500);
  EXPECT_EQ(Call({.method = "GET", .target = "/usual"}).status, 200);
}

TEST_F(TargetStandInTest, BadControlBody_IsRejectedNamingTheField) {
  const HttpResponse answer =
      Call({.method = "POST",
            .target = "/control",
            .body = R"({"faults": [{"error_ppm": 1000001}]})"});
  EXPECT_EQ(answer.status, 400);
  EXPECT_NE(answer.body.find("faults[0].error_ppm"), std::string::npos);
}

TEST_F(TargetStandInTest, RunsWithKey_AreCounted) {
  for (int run = 0; run < 2; ++run) {
    Call({.method = "POST",
          .target = "/x",
          .fields = {{"Idempotency-Key", "k"}, {"X-Request-Id", "r"}}});
  }
  const HttpResponse runs = Call({.method = "GET", .target = "/control/runs"});
  EXPECT_NE(runs.body.find(R"({"key":"k","request":"r","count":2})"),
            std::string::npos)
      << runs.body;
}

}  // namespace
}  // namespace camphor

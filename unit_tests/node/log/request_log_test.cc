#include "node/log/request_log.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace camphor {
namespace {

using Kind = RequestDecision::Kind;

class RequestLogWrite : public testing::Test {
 protected:
  // Destroys the sink, which flushes it, and returns all output.
  const std::string& Text() {
    sink_.reset();
    return text_;
  }

  std::size_t Lines() {
    const std::string& text = Text();
    return static_cast<std::size_t>(std::ranges::count(text, '\n'));
  }

  static constexpr MonoTime kNow{Seconds(100)};
  std::string text_;
  std::unique_ptr<LogSink> sink_ = std::make_unique<LogSink>(LogSink::Options{
      .write = [this](const std::string& lines) { text_ += lines; }});
  RequestLog log_{{.log = sink_.get(),
                   .answered_sample_one_in = 4,
                   .budget = {.per_second = 10, .burst = 10}}};
};

TEST_F(RequestLogWrite, Refusal_LogsItsInputs) {
  log_.Write({.kind = Kind::kRefused,
              .hop = RequestDecision::Hop::kTarget,
              .request_id = "r-1",
              .target = "t-1",
              .reason = "full",
              .attempt = 1,
              .status = 503,
              .version = 7,
              .in_flight = 9,
              .waiting = 20},
             kNow);
  const std::string& text = Text();
  for (const char* field :
       {"request=r-1", "hop=target", "target=t-1", "reason=full", "status=503",
        "version=7", "in_flight=9", "waiting=20"})
    EXPECT_NE(text.find(field), std::string::npos) << text;
}

TEST_F(RequestLogWrite, AnsweredRequests_SameSampleOnAllHosts) {
  RequestLog other({.log = sink_.get(), .answered_sample_one_in = 4});
  int kept = 0;
  for (int request = 0; request < 16; ++request) {
    const std::string id = "r" + std::to_string(request);
    log_.Write({.request_id = id}, kNow + Seconds(request));
    other.Write({.request_id = id}, kNow + Seconds(request));
    ++kept;
  }
  const std::size_t lines = Lines();
  EXPECT_EQ(lines % 2, 0U);
  EXPECT_GT(lines, 0U);
  EXPECT_LT(lines, 32U);
}

TEST_F(RequestLogWrite, BudgetExceeded_SuppressesAndCounts) {
  for (int request = 0; request < 30; ++request)
    log_.Write({.kind = Kind::kFailed, .request_id = "r"}, kNow);
  EXPECT_EQ(log_.suppressed(), 20U);
  log_.Write({.kind = Kind::kFailed, .request_id = "r"}, kNow + Seconds(1));
  EXPECT_NE(Text().find("left_out=20"), std::string::npos);
}

}  // namespace
}  // namespace camphor

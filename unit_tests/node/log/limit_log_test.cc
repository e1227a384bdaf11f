#include "node/log/limit_log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

namespace camphor {
namespace {

class LimitLogTest : public testing::Test {
 protected:
  std::string text_;
  std::unique_ptr<LogSink> sink_ = std::make_unique<LogSink>(LogSink::Options{
      .write = [this](const std::string& lines) { text_ += lines; }});
  LimitLog log_{{.log = sink_.get(),
                 .part = "proxy",
                 .budget = {.per_second = 1, .burst = 2}}};
};

using LimitLogWrite = LimitLogTest;

// Guards against a crowd of callers that fills the log.
TEST_F(LimitLogWrite, ManyTimes_LinesAreBoundedAndSuppressedOnesCounted) {
  const MonoTime start(std::chrono::seconds(1000));
  for (int times = 0; times < 50; ++times)
    log_.Write(ProxyLimit::kConnectionsRefused, start);
  log_.Write(ProxyLimit::kBuffersYielded, start + std::chrono::seconds(1));
  sink_.reset();  // writes the queued lines
  EXPECT_EQ(std::ranges::count(text_, '\n'), 3) << text_;
  EXPECT_NE(text_.find("too many are open"), std::string::npos);
  EXPECT_NE(text_.find("left_out=48"), std::string::npos) << text_;
}

}  // namespace
}  // namespace camphor

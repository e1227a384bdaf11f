#include "node/log/log_sink.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <string>

namespace camphor {
namespace {

class LogSinkLog : public testing::Test {
 protected:
  /// Destroys the sink, which flushes it, and returns all output.
  std::string Written() {
    sink_.reset();
    return written_;
  }

  std::string written_;
  std::unique_ptr<LogSink> sink_ = std::make_unique<LogSink>(LogSink::Options{
      .write = [this](const std::string& lines) { written_ += lines; }});
};

TEST_F(LogSinkLog, FieldWithSpaces_IsQuoted) {
  sink_->Log(LogLevel::kInfo, "mesh", "lost a peer",
             {{"peer", "10.0.0.1:1"}, {"reason", "it \"went\" away"}});
  EXPECT_EQ(Written(),
            "camphord mesh: lost a peer peer=10.0.0.1:1 "
            "reason=\"it \\\"went\\\" away\"\n");
}

TEST_F(LogSinkLog, LevelOfPart_OverridesDefault) {
  sink_->SetLevels(LogLevel::kError, {{"mesh", LogLevel::kDebug}});
  sink_->Log(LogLevel::kDebug, "mesh", "kept");
  sink_->Log(LogLevel::kWarning, "admin", "left out");
  EXPECT_EQ(Written(), "camphord mesh: kept level=debug\n");
}

TEST_F(LogSinkLog, HistoryDisabled_WritesNothing) {
  sink_->History("serving", {{"version", 1U}});
  EXPECT_EQ(Written(), "");
}

TEST_F(LogSinkLog, HistoryEnabled_WritesTimeAfterName) {
  sink_->SetHistory(true);
  sink_->History("serving", {{"version", 1U}});
  const std::string written = Written();
  EXPECT_EQ(written.find("camphord history: event=serving t_us="), 0U);
  EXPECT_NE(written.find(" version=1\n"), std::string::npos);
}

TEST(LogSinkEnqueue, RingFull_DropsAndCounts) {
  std::mutex gate;
  std::unique_lock closed(gate);
  std::mutex mutex;
  std::condition_variable entered_changed;
  bool entered = false;
  {
    LogSink sink({.capacity = 2, .write = [&](const std::string&) {
                    {
                      const std::lock_guard lock(mutex);
                      entered = true;
                    }
                    entered_changed.notify_one();
                    const std::lock_guard wait(gate);
                  }});
    sink.Log(LogLevel::kInfo, "node", "is being written");
    {
      std::unique_lock lock(mutex);
      entered_changed.wait(lock, [&] { return entered; });
    }
    for (int line = 0; line < 5; ++line) {
      sink.Log(LogLevel::kInfo, "node", "waits");
    }
    EXPECT_EQ(sink.dropped(), 3U);
    closed.unlock();
  }
}

}  // namespace
}  // namespace camphor

#ifndef CAMPHORHILL_NODE_LOG_LOG_SINK_H_
#define CAMPHORHILL_NODE_LOG_LOG_SINK_H_

#include <array>
#include <atomic>
#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "node/log/log_level.h"

namespace camphor {

/// One key=value field of a log line.
struct LogField {
  std::string_view key;  ///< what it is, for example "peer"
  std::string value;     ///< in quotes on the line if it holds spaces

  LogField(std::string_view field_key, std::string field_value);
  LogField(std::string_view field_key, std::uint64_t number);
};

/// Writes log lines to standard output on a thread of its own, so that a slow
/// reader never holds up the work.
///
/// Lines wait in a bounded ring; when it is full a line is dropped and counted.
class LogSink {
 public:
  struct Options {
    std::size_t capacity = 4096;  ///< lines that wait at most
    std::string host{};           ///< stands on each line; empty: left out
    std::function<std::int64_t()>
        now_ms{};  ///< calendar time for each line; null: left out
    std::function<void(const std::string&)>
        write{};  ///< takes whole lines; standard output if not set
  };

  explicit LogSink(Options options);

  /// Writes what waits and joins the thread.
  ~LogSink();

  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;

  /// Sets the levels of all parts, then those of single ones. Thread safety:
  /// any thread.
  void SetLevels(LogLevel level, const std::map<std::string, LogLevel>& parts);

  /// Turns events for the history checker on or off. Thread safety: any thread.
  void SetHistory(bool enabled) { history_ = enabled; }

  /// Writes one line unless its part's level is above. Thread safety: any
  /// thread.
  void Log(LogLevel level, std::string_view part, std::string_view sentence,
           std::initializer_list<LogField> fields = {});

  /// Writes one event for the history checker, if that is on. Thread safety:
  /// any thread.
  void History(std::string_view event, std::initializer_list<LogField> fields);

  /// The same with the text "event=NAME t_us=TIME ..." made by the caller.
  /// Thread safety: any thread.
  void History(std::string_view text);

  /// True when history events are written. Thread safety: any thread.
  bool history() const { return history_; }

  /// Level of all parts without their own. Thread safety: any thread.
  LogLevel level() const { return default_level_; }

  /// Lines dropped since the start. Thread safety: any thread.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool Enabled(LogLevel level, std::string_view part) const;
  void Enqueue(std::string line);
  void Run();

  Options options_;
  std::atomic<LogLevel> default_level_{LogLevel::kInfo};
  std::array<std::atomic<LogLevel>, kLogParts.size()> levels_{};
  std::atomic<bool> history_{false};
  std::atomic<std::uint64_t> dropped_{0};
  std::mutex mutex_;
  std::condition_variable wake_;
  boost::circular_buffer<std::string> lines_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_NODE_LOG_LOG_SINK_H_

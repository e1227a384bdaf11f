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
  std::string_view key;  ///< name of the field, such as "peer"
  std::string value;     ///< quoted in the line if it contains separators

  LogField(std::string_view field_key, std::string field_value);
  LogField(std::string_view field_key, std::uint64_t number);
};

/// Writes log lines to standard output on its own thread, so that a slow reader
/// of the output never blocks the callers.
///
/// Lines are queued in a bounded ring. When it is full, lines are dropped and
/// counted.
class LogSink {
 public:
  struct Options {
    std::size_t capacity = 4096;  ///< maximum number of queued lines
    std::string host{};           ///< host field of each line; empty: omitted
    std::function<std::int64_t()>
        now_ms{};  ///< wall-clock time of each line; null: omitted
    std::function<void(const std::string&)>
        write{};  ///< receives complete lines; null: standard output
  };

  explicit LogSink(Options options);

  /// Writes the queued lines and joins the thread.
  ~LogSink();

  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;

  /// Sets the default level and the levels of individual parts. Thread-safe.
  void SetLevels(LogLevel level, const std::map<std::string, LogLevel>& parts);

  /// Enables or disables history-checker events. Thread-safe.
  void SetHistory(bool enabled) { history_ = enabled; }

  /// Writes one line if its level is at least that of its part. Thread-safe.
  void Log(LogLevel level, std::string_view part, std::string_view sentence,
           std::initializer_list<LogField> fields = {});

  /// Writes one event for the history checker, if enabled. Thread-safe.
  void History(std::string_view event, std::initializer_list<LogField> fields);

  /// As above, with the complete text "event=NAME t_us=TIME ...". Thread-safe.
  void History(std::string_view text);

  /// Whether history events are enabled. Thread-safe.
  bool history() const { return history_; }

  /// Default level. Thread-safe.
  LogLevel level() const { return default_level_; }

  /// Number of dropped lines. Thread-safe.
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

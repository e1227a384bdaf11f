#include "node/log/log_sink.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

#include "core/base/time.h"

namespace camphor {
namespace {

void AppendField(std::string& line, const LogField& field) {
  line += ' ';
  line += field.key;
  line += '=';
  // Quote values that contain separators, so that lines can be parsed.
  const bool plain = !field.value.empty() &&
                     field.value.find_first_of(" \"\n=") == std::string::npos;
  if (plain) {
    line += field.value;
    return;
  }
  line += '"';
  for (const char character : field.value) {
    if (character == '"' || character == '\\') line += '\\';
    line += character == '\n' ? ' ' : character;
  }
  line += '"';
}

}  // namespace

LogField::LogField(std::string_view field_key, std::string field_value)
    : key(field_key), value(std::move(field_value)) {}

LogField::LogField(std::string_view field_key, std::uint64_t number)
    : key(field_key), value(std::to_string(number)) {}

LogSink::LogSink(Options options)
    : options_(std::move(options)),
      lines_(options_.capacity),
      thread_([this] { Run(); }) {
  SetLevels(LogLevel::kInfo, {});
}

LogSink::~LogSink() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void LogSink::SetLevels(LogLevel level,
                        const std::map<std::string, LogLevel>& parts) {
  default_level_ = level;
  for (std::size_t index = 0; index < kLogParts.size(); ++index) {
    const auto found = parts.find(std::string(kLogParts.at(index)));
    levels_.at(index) = found == parts.end() ? level : found->second;
  }
}

void LogSink::Log(LogLevel level, std::string_view part,
                  std::string_view sentence,
                  std::initializer_list<LogField> fields) {
  if (!Enabled(level, part)) return;
  std::string line = fmt::format("camphord {}: {}", part, sentence);
  for (const LogField& field : fields) AppendField(line, field);
  if (level != LogLevel::kInfo) {
    AppendField(line, {"level", std::string(LogLevelName(level))});
  }
  // Time and host allow log lines of several hosts to be merged.
  if (options_.now_ms)
    AppendField(line, {"t_ms", std::to_string(options_.now_ms())});
  if (!options_.host.empty()) AppendField(line, {"host", options_.host});
  Enqueue(std::move(line));
}

void LogSink::History(std::string_view event,
                      std::initializer_list<LogField> fields) {
  if (!history_) return;
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  std::string text =
      fmt::format("event={} t_us={}", event,
                  std::chrono::duration_cast<Microseconds>(now).count());
  for (const LogField& field : fields) AppendField(text, field);
  History(text);
}

void LogSink::History(std::string_view text) {
  if (history_) Enqueue(fmt::format("camphord history: {}", text));
}

bool LogSink::Enabled(LogLevel level, std::string_view part) const {
  const auto* const found = std::ranges::find(kLogParts, part);
  if (found == kLogParts.end()) return level >= default_level_;
  const auto index = std::distance(kLogParts.begin(), found);
  return level >= levels_.at(static_cast<std::size_t>(index));
}

void LogSink::Enqueue(std::string line) {
  line += '\n';
  {
    const std::lock_guard lock(mutex_);
    if (lines_.full()) {
      ++dropped_;
      return;
    }
    lines_.push_back(std::move(line));
  }
  wake_.notify_one();
}

void LogSink::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    if (lines_.empty()) return;
    // Write without holding the lock, so that a slow reader of the output does
    // not block callers of Log().
    std::string batch;
    for (const std::string& line : lines_) batch += line;
    lines_.clear();
    lock.unlock();
    if (options_.write) {
      options_.write(batch);
    } else {
      std::fwrite(batch.data(), 1, batch.size(), stdout);
      std::fflush(stdout);
    }
    lock.lock();
  }
}

}  // namespace camphor

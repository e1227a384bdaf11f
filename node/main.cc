#include <fmt/core.h>
#include <malloc.h>

#include <boost/asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include "core/base/time.h"
#include "node/command_line.h"
#include "node/log/log_sink.h"
#include "node/node.h"
#include "node/settings/settings.h"

namespace camphor {
namespace {

/// Exit codes, as docs/SETTINGS.md lists them.
enum ExitCode : int {
  kExitOk = 0,           ///< drained, or the settings are valid
  kExitFailed = 1,       ///< start failed, or requests were cut off
  kExitBadSettings = 2,  ///< invalid arguments or settings
};

/// Returns the content of a file, or an empty optional if it cannot be read.
std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream input(file);
  if (!input) return std::nullopt;
  return std::string{std::istreambuf_iterator<char>(input), {}};
}

/// Reads and validates the settings; prints all errors.
std::optional<Settings> LoadSettings(const std::string& file) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    fmt::print(stderr, "camphord settings: {}: cannot be read\n", file);
    return std::nullopt;
  }
  SettingsReader reader;
  std::optional<Settings> settings = reader.Read(*text);
  for (const FieldError& error : reader.errors()) {
    fmt::print(stderr, "camphord settings: {}{}{}\n", error.field,
               error.field.empty() ? "" : ": ", error.message);
  }
  return settings;
}

/// Limits malloc arenas and free memory: the process may use only
/// 32 MB on a host.
void ConfigureAllocator() {
  constexpr int kArenas = 2;
  constexpr int kTrimThreshold = 256 * 1024;
  mallopt(M_ARENA_MAX, kArenas);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

std::int64_t WallTimeMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Reloads the log levels. Invalid settings change nothing.
void ReloadLogLevels(const std::string& file, LogSink& log) {
  const std::optional<Settings> settings = LoadSettings(file);
  if (!settings.has_value()) {
    log.Log(LogLevel::kError, "node", "invalid settings; log levels unchanged");
    return;
  }
  log.SetLevels(settings->log.level, settings->log.parts);
  log.Log(LogLevel::kInfo, "node", "log levels reloaded");
}

/// Runs until SIGTERM or SIGINT, and handles SIGHUP and a periodic poll.
class SignalLoop {
 public:
  SignalLoop() : signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

  /// Makes Run() return. Thread-safe.
  void Stop() {
    boost::asio::post(context_, [this] { context_.stop(); });
  }

  /// Calls `on_hangup` for each SIGHUP and `on_poll` every `kPollInterval`, and
  /// returns on SIGTERM or SIGINT.
  void Run(const std::function<void()>& on_hangup,
           const std::function<void()>& on_poll) {
    Wait(on_hangup);
    Poll(on_poll);
    context_.run();
  }

 private:
  void Wait(const std::function<void()>& on_hangup) {
    signals_.async_wait(
        [this, on_hangup](const boost::system::error_code& error, int signal) {
          if (error) return;
          if (signal != SIGHUP) return context_.stop();
          on_hangup();
          Wait(on_hangup);
        });
  }

  void Poll(const std::function<void()>& on_poll) {
    timer_.expires_after(kPollInterval);
    timer_.async_wait([this, on_poll](const boost::system::error_code& error) {
      if (error) return;
      on_poll();
      Poll(on_poll);
    });
  }

  static constexpr Seconds kPollInterval{2};

  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_{context_};
};

int Run(const Settings& settings, const std::string& settings_file) {
  SignalLoop loop;
  LogSink log({.host = settings.host.value(), .now_ms = &WallTimeMs});
  log.SetLevels(settings.log.level, settings.log.parts);
  log.SetHistory(settings.log.history);
  log.Log(LogLevel::kInfo, "node", "starting",
          {{"program", CAMPHOR_VERSION}, {"settings", settings_file}});
  Node node({.settings = settings, .log = &log, .drain_requested = [&loop] {
               loop.Stop();
             }});
  if (!node.Start()) return kExitFailed;
  std::optional<std::string> text = ReadFile(settings_file);
  loop.Run([&] { ReloadLogLevels(settings_file, log); },
           [&] {
             // Also detect changes of the file without a signal.
             std::optional<std::string> newest = ReadFile(settings_file);
             if (!newest || newest == text) return;
             text = std::move(newest);
             ReloadLogLevels(settings_file, log);
           });
  const bool drained = node.Drain();
  node.Stop();
  log.Log(LogLevel::kInfo, "node", "stopped",
          {{"drained", drained ? "yes" : "no"}});
  return drained ? kExitOk : kExitFailed;
}

int Main(int argc, const char** argv) {
  ConfigureAllocator();
  std::signal(SIGPIPE, SIG_IGN);
  std::string reason;
  const std::optional<CommandLine> line =
      CommandLine::Parse(argc, argv, reason);
  if (!line.has_value()) {
    fmt::print(stderr, "camphord arguments: {}; try --help\n", reason);
    return kExitBadSettings;
  }
  if (line->version) {
    fmt::print("camphord {}\n", CAMPHOR_VERSION);
    return kExitOk;
  }
  const std::optional<Settings> settings = LoadSettings(line->settings_file);
  if (!settings.has_value()) return kExitBadSettings;
  if (line->check) {
    fmt::print("camphord settings: valid\n");
    return kExitOk;
  }
  return Run(*settings, line->settings_file);
}

}  // namespace
}  // namespace camphor

int main(int argc, const char** argv) { return camphor::Main(argc, argv); }

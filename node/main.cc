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
  kExitOk = 0,      ///< drained, or the settings are right
  kExitFailed = 1,  ///< an address can not be had, or requests were cut off
  kExitBadSettings = 2,  ///< wrong arguments or settings
};

/// The text of a file; nothing when it can not be read.
std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream input(file);
  if (!input) return std::nullopt;
  return std::string{std::istreambuf_iterator<char>(input), {}};
}

/// Reads and checks the settings; prints every fault.
std::optional<Settings> LoadSettings(const std::string& file) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    fmt::print(stderr, "camphord settings: {}: can not be read\n", file);
    return std::nullopt;
  }
  SettingsReader reader;
  std::optional<Settings> settings = reader.Read(*text);
  for (const FieldError& fault : reader.errors()) {
    fmt::print(stderr, "camphord settings: {}{}{}\n", fault.field,
               fault.field.empty() ? "" : ": ", fault.message);
  }
  return settings;
}

/// Few memory arenas: a host has 32 MB for the whole process.
void LimitMemory() {
  constexpr int kArenas = 2;
  constexpr int kTrimThreshold = 256 * 1024;
  mallopt(M_ARENA_MAX, kArenas);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

std::int64_t CalendarMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Reads the levels again; wrong settings leave everything as it is.
void ReloadLogLevels(const std::string& file, LogSink& log) {
  const std::optional<Settings> settings = LoadSettings(file);
  if (!settings.has_value()) {
    log.Log(LogLevel::kError, "node",
            "the settings are wrong; the log levels stay as they were");
    return;
  }
  log.SetLevels(settings->log.level, settings->log.parts);
  log.Log(LogLevel::kInfo, "node", "the log levels were read again");
}

/// Waits for signals until one asks to end.
class SignalLoop {
 public:
  SignalLoop() : signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

  /// Ends Run. Thread safety: any thread.
  void End() {
    boost::asio::post(context_, [this] { context_.stop(); });
  }

  /// Calls `on_hangup` for each SIGHUP and `on_look` each `kLookPause`, and
  /// returns on SIGTERM or SIGINT.
  void Run(const std::function<void()>& on_hangup,
           const std::function<void()>& on_look) {
    Wait(on_hangup);
    Look(on_look);
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

  void Look(const std::function<void()>& on_look) {
    timer_.expires_after(kLookPause);
    timer_.async_wait([this, on_look](const boost::system::error_code& error) {
      if (error) return;
      on_look();
      Look(on_look);
    });
  }

  static constexpr Seconds kLookPause{2};

  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_{context_};
};

int Run(const Settings& settings, const std::string& settings_file) {
  SignalLoop loop;
  LogSink log({.host = settings.host.value(), .now_ms = &CalendarMs});
  log.SetLevels(settings.log.level, settings.log.parts);
  log.SetHistory(settings.log.history);
  log.Log(LogLevel::kInfo, "node", "starting",
          {{"program", CAMPHOR_VERSION}, {"settings", settings_file}});
  Node node({.settings = settings, .log = &log, .drain_requested = [&loop] {
               loop.End();
             }});
  if (!node.Start()) return kExitFailed;
  std::optional<std::string> text = ReadFile(settings_file);
  loop.Run([&] { ReloadLogLevels(settings_file, log); },
           [&] {
             // The file may change without a signal.
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
  LimitMemory();
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
    fmt::print("camphord settings: right\n");
    return kExitOk;
  }
  return Run(*settings, line->settings_file);
}

}  // namespace
}  // namespace camphor

int main(int argc, const char** argv) { return camphor::Main(argc, argv); }

#ifndef CAMPHORHILL_STAND_INS_TARGET_TARGET_STAND_IN_H_
#define CAMPHORHILL_STAND_INS_TARGET_TARGET_STAND_IN_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "stand_ins/http/http_server.h"
#include "stand_ins/target/target_faults.h"

namespace camphor {

/// Takes a target's place in tests: runs requests in a bounded number of slots,
/// sheds the rest, counts each run, and misbehaves as told (POST /control).
///
/// Request headers that shape the run: X-Request-Id names it, X-Work-Ms sets
/// its duration, X-Answer-Bytes the length of its answer, X-Answer-Chunked its
/// framing; X-Crash-Me ends the process before the answer.
class TargetStandIn {
 public:
  struct Options {
    Endpoint listen{.address = "127.0.0.1", .port = 0};  ///< port 0 takes any
    std::string id{};                                    ///< target id
    std::string version{};                               ///< target version
    std::uint32_t slots = 10;       ///< requests run at a time
    Milliseconds work{0};           ///< duration of a run unless asked
    Milliseconds cold_start{0};     ///< time from the start until warm
    Milliseconds cold_delay{50};    ///< added to each run while cold
    bool history = false;           ///< logs each run
    std::function<void()> crash{};  ///< ends the process
  };

  explicit TargetStandIn(Options options);

  /// Sets the faults from the body of POST /control. Returns false, with the
  /// reason set, when it is malformed. Thread safety: before Start, or the
  /// server's thread.
  bool SetFaults(const std::string& text, std::string& reason);

  /// Starts to serve. Returns false, with last_reason set, when the address can
  /// not be had. Thread safety: one thread.
  bool Start();

  /// Stops to serve; runs in flight are cut off. Thread safety: one thread.
  void Stop();

  /// True when nothing is in flight and no request came during `quiet`. Thread
  /// safety: any thread.
  bool Idle(Milliseconds quiet) const;

  /// Address in use after Start. Thread safety: any thread.
  Endpoint endpoint() const;

  /// Why Start failed. Thread safety: one thread.
  const std::string& last_reason() const;

 private:
  void Handle(const HttpExchange& exchange);
  void Run(const HttpExchange& exchange);
  void Finish(const HttpExchange& exchange, bool failed);
  void RecordRun(const HttpRequest& request);
  bool NextFails(std::uint32_t error_ppm);
  HttpResponse Control(const HttpRequest& request);
  HttpResponse Runs() const;
  HttpResponse Load() const;

  Options options_;
  TargetFaults faults_;
  MonoTime started_at_;
  MonoTime faults_set_at_;
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<MonoTime::rep> last_request_{0};
  std::map<std::pair<std::string, std::string>, std::uint64_t> runs_;
  std::uint64_t run_count_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t error_credit_ = 0;
  HttpServer server_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_TARGET_TARGET_STAND_IN_H_

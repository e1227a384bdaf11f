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

/// Fake target for tests. Runs requests in a bounded number of slots, sheds the
/// rest, counts each run, and injects faults (POST /control).
///
/// Request headers control the run: X-Request-Id identifies it, X-Work-Ms sets
/// its duration, X-Answer-Bytes the length of the response body;
/// X-Answer-Chunked selects chunked encoding; X-Crash-Me ends the process
/// before the response.
class TargetStandIn {
 public:
  struct Options {
    Endpoint listen{.address = "127.0.0.1",
                    .port = 0};     ///< port 0: any free port
    std::string id{};               ///< target id
    std::string version{};          ///< target version
    std::uint32_t slots = 10;       ///< maximum concurrent requests
    Milliseconds work{0};           ///< default duration of a run
    Milliseconds cold_start{0};     ///< time from start until warm
    Milliseconds cold_delay{50};    ///< added to each run while cold
    bool history = false;           ///< logs each run
    std::function<void()> crash{};  ///< ends the process
  };

  explicit TargetStandIn(Options options);

  /// Sets the faults from the body of POST /control. Returns false and sets
  /// `reason` if it is malformed. Must be called before Start or on the
  /// server's thread.
  bool SetFaults(const std::string& text, std::string& reason);

  /// Starts serving. Returns false and sets last_reason if the address cannot
  /// be bound. Must be called from one thread.
  bool Start();

  /// Stops serving and closes the connections of requests in flight. Must be
  /// called from one thread.
  void Stop();

  /// Returns true if no request is in flight and none arrived during `quiet`.
  /// Thread-safe.
  bool Idle(Milliseconds quiet) const;

  /// Bound address. Valid after Start. Thread-safe.
  Endpoint endpoint() const;

  /// Reason for the last failure of Start. Must be called from one thread.
  const std::string& last_reason() const;

 private:
  void Handle(const HttpExchange& exchange);
  void Run(const HttpExchange& exchange);
  void Finish(const HttpExchange& exchange, bool failed);
  void RecordRun(const HttpRequest& request);
  bool ShouldFail(std::uint32_t error_ppm);
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

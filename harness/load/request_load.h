#ifndef CAMPHORHILL_HARNESS_LOAD_REQUEST_LOAD_H_
#define CAMPHORHILL_HARNESS_LOAD_REQUEST_LOAD_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"
#include "harness/history/history.h"
#include "stand_ins/http/http_message.h"

namespace camphor {

class HttpConnection;

/// Load generator: callers that send requests to a set of hosts until they are
/// stopped and record the outcomes.
///
/// Each request has a unique id and a unique expected response. With keys, an
/// unanswered request is retried with the same key through the next host.
class RequestLoad {
 public:
  struct Options {
    std::string name = "load";                ///< prefix of request ids
    std::map<std::string, Endpoint> hosts{};  ///< caller endpoints by host
    std::string path = "/";                   ///< path of each request
    std::string method = "POST";              ///< method of each request
    unsigned callers = 4;                     ///< number of concurrent callers
    Milliseconds pause{2};            ///< pause between requests of a caller
    Milliseconds work{0};             ///< processing time in the target
    std::uint64_t answer_bytes = 64;  ///< length of each response body
    bool keyed = false;               ///< send idempotency keys
    unsigned attempts = 3;            ///< maximum attempts with keys
    Milliseconds timeout{5000};       ///< timeout of each attempt
  };

  explicit RequestLoad(Options options);

  /// Stops the callers.
  ~RequestLoad();
  RequestLoad(const RequestLoad&) = delete;
  RequestLoad& operator=(const RequestLoad&) = delete;

  /// Starts the callers. Must be called from one thread.
  void Start();

  /// Waits until each caller has finished its request, then joins the callers.
  /// Must be called from one thread.
  void Stop();

  /// Number of calls so far with this outcome. Thread-safe.
  std::uint64_t Count(CallOutcome outcome) const;

  /// Number of calls so far. Thread-safe.
  std::uint64_t total() const;

  /// All calls. Must be called after Stop().
  const std::vector<CallEvent>& calls() const { return calls_; }

 private:
  void RunCaller(unsigned caller);
  CallEvent SendOne(unsigned host_index, const std::string& request,
                    const std::string& key,
                    std::vector<HttpConnection*>& connections) const;
  // Waits for Options::pause or until Stop() is called. Returns true if
  // stopping.
  bool WaitForStop();

  Options options_;
  std::vector<std::thread> callers_;
  mutable std::mutex mutex_;
  std::condition_variable stopping_changed_;
  bool stopping_ = false;         // guarded by mutex_
  std::vector<CallEvent> calls_;  // guarded by mutex_ until Stop
};

/// Classifies the response to the request `request` with an expected body of
/// `answer_bytes` bytes. Thread-safe.
CallOutcome ClassifyResponse(const HttpResponse& answer,
                             const std::string& request,
                             std::uint64_t answer_bytes);

/// Current time on the clock of EventTime. Thread-safe.
EventTime EventNow();

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_LOAD_REQUEST_LOAD_H_

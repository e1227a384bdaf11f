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

/// Callers that send requests to some hosts until they are stopped, and note
/// what they got.
///
/// Each request has an id of its own and an answer that only it may get. With
/// keys, a request that was not answered is sent again under the same key
/// through the next host.
class RequestLoad {
 public:
  struct Options {
    std::string name = "load";                ///< begins every request id
    std::map<std::string, Endpoint> hosts{};  ///< callers' addresses by host
    std::string path = "/";                   ///< path of each request
    std::string method = "POST";              ///< method of each request
    unsigned callers = 4;                     ///< callers at a time
    Milliseconds pause{2};                    ///< between two of one caller
    Milliseconds work{0};                     ///< asked of the target
    std::uint64_t answer_bytes = 64;          ///< length of each answer
    bool keyed = false;                       ///< with an idempotency key
    unsigned attempts = 3;                    ///< sent at most, with keys
    Milliseconds timeout{5000};               ///< callers' patience
  };

  explicit RequestLoad(Options options);

  /// Stops.
  ~RequestLoad();
  RequestLoad(const RequestLoad&) = delete;
  RequestLoad& operator=(const RequestLoad&) = delete;

  /// Starts the callers. Thread safety: one thread.
  void Start();

  /// Lets each caller end its request, and joins them. Thread safety: one
  /// thread.
  void Stop();

  /// Calls so far with the outcome. Thread safety: any thread.
  std::uint64_t Count(CallOutcome outcome) const;

  /// Calls so far. Thread safety: any thread.
  std::uint64_t total() const;

  /// Every call. Thread safety: after Stop.
  const std::vector<CallEvent>& calls() const { return calls_; }

 private:
  void RunCaller(unsigned caller);
  CallEvent SendOne(unsigned host_index, const std::string& request,
                    const std::string& key,
                    std::vector<HttpConnection*>& connections) const;
  bool PauseUnlessStopping();

  Options options_;
  std::vector<std::thread> callers_;
  mutable std::mutex mutex_;
  std::condition_variable stopping_changed_;
  bool stopping_ = false;         // guarded by mutex_
  std::vector<CallEvent> calls_;  // guarded by mutex_ until Stop
};

/// What the answer is worth to the caller of the given request. Thread safety:
/// any thread.
CallOutcome JudgeAnswer(const HttpResponse& answer, const std::string& request,
                        std::uint64_t answer_bytes);

/// Now, as histories count time. Thread safety: any thread.
EventTime EventNow();

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_LOAD_REQUEST_LOAD_H_

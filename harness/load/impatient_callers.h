#ifndef CAMPHORHILL_HARNESS_LOAD_IMPATIENT_CALLERS_H_
#define CAMPHORHILL_HARNESS_LOAD_IMPATIENT_CALLERS_H_

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// Open-loop load on one listener: callers arrive at a rate whatever happens to
/// the earlier ones. Each sends one request on a connection of its own, closes
/// it if no response has come in time, and may come again.
class ImpatientCallers {
 public:
  struct Options {
    Endpoint to{};               ///< listener
    std::string request{};       ///< complete request, sent at once
    double per_second = 10;      ///< callers that arrive
    Milliseconds patience{500};  ///< time after which an attempt is given up
    unsigned attempts = 1;       ///< of each caller
  };

  /// One connection. Immutable value type.
  struct Attempt {
    MonoTime began{};     ///< when it connected
    MonoTime answered{};  ///< when the response began; zero: it did not
    unsigned status = 0;  ///< of the response; 0: none

    auto operator<=>(const Attempt&) const = default;
  };

  explicit ImpatientCallers(Options options);

  /// Stops the callers.
  ~ImpatientCallers();
  ImpatientCallers(const ImpatientCallers&) = delete;
  ImpatientCallers& operator=(const ImpatientCallers&) = delete;

  /// Starts the callers. Must be called once.
  void Start();

  /// Changes the rate of arrivals. Thread-safe.
  void SetRate(double per_second);

  /// Closes all connections and joins the thread. Must be called from the
  /// thread that called Start().
  void Stop();

  /// Attempts that have ended, by the time of their end. Thread-safe.
  std::vector<Attempt> attempts() const;

 private:
  struct Caller {
    int socket = -1;
    unsigned attempts_left = 0;
    Attempt attempt{};
    bool sent = false;
  };

  void Run();
  void Arrive(MonoTime now);
  bool Connect(Caller& caller, MonoTime now) const;
  void Poll();
  void Advance(Caller& caller, MonoTime now);
  void Send(Caller& caller) const;
  void End(Caller& caller, MonoTime now);

  Options options_;
  std::vector<Caller> callers_;  ///< with an open connection
  double due_ = 0;               ///< callers that are due to arrive
  MonoTime arrived_{};           ///< when arrivals were last counted
  mutable std::mutex mutex_;
  double per_second_;           ///< guarded by mutex_
  bool stopping_ = false;       ///< guarded by mutex_
  std::vector<Attempt> ended_;  ///< guarded by mutex_
  std::thread thread_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_LOAD_IMPATIENT_CALLERS_H_

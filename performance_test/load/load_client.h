#ifndef CAMPHORHILL_PERFORMANCE_TEST_LOAD_LOAD_CLIENT_H_
#define CAMPHORHILL_PERFORMANCE_TEST_LOAD_LOAD_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// How the requests of one load ended. Latencies count from the time at which a
/// request was due, so that a stalled client does not hide a slow answer.
struct LoadReport {
  std::uint64_t sent = 0;         ///< requests that were due
  std::uint64_t good = 0;         ///< whole, right answers below 500
  std::uint64_t refused = 0;      ///< marked not run
  std::uint64_t unknown = 0;      ///< marked as of unknown outcome
  std::uint64_t failed = 0;       ///< other answers of 500 and above
  std::uint64_t wrong = 0;        ///< another request's answer
  std::uint64_t truncated = 0;    ///< shorter than asked, yet framed as whole
  std::uint64_t broken = 0;       ///< the connection ended before the answer
  std::uint64_t timed_out = 0;    ///< no answer within the client's time
  std::uint64_t unconnected = 0;  ///< no endpoint took the connection
  std::vector<std::uint32_t> latencies_us{};  ///< of the good ones
  std::set<std::string> refused_ids{};        ///< request ids marked not run

  /// The latency that the given share of good answers kept to; 0 without any.
  std::uint32_t Quantile(double share) const;

  /// One line of key=value.
  std::string ToString(double seconds) const;
};

/// Sends requests at a fixed rate, whatever becomes of them (an open loop), and
/// checks each answer against what the target stand-in must have said.
///
/// Everything runs in Run, on the calling thread; several loads run side by
/// side through RunAll.
class LoadClient {
 public:
  struct Options {
    std::vector<Endpoint> endpoints{};  ///< used in turn
    double rate = 100;                  ///< requests a second
    std::string path = "/work";         ///< path and query
    std::string method = "GET";         ///< method
    std::string id_prefix = "r";        ///< makes request ids unique
    bool keyed = false;                 ///< sends an idempotency key
    std::size_t answer_bytes = 256;     ///< length of each answer
    std::uint32_t work_ms = 0;          ///< duration of each run
    Milliseconds deadline{1000};        ///< told to the proxy
    Milliseconds patience{3000};        ///< the client waits this long
    std::size_t most_in_flight = 4096;  ///< due requests beyond it are dropped
  };

  /// @pre options.endpoints is not empty, options.rate > 0.
  explicit LoadClient(Options options);
  ~LoadClient();

  /// Runs several loads side by side for the given time, and until their last
  /// answers came. Thread safety: one thread.
  static void RunAll(const std::vector<LoadClient*>& clients,
                     Milliseconds duration);

  /// Runs this load alone. Thread safety: one thread.
  void Run(Milliseconds duration) { RunAll({this}, duration); }

  const LoadReport& report() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_LOAD_LOAD_CLIENT_H_

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

/// Outcomes of the requests of one load. Latencies are measured from the time
/// at which a request was due, which avoids coordinated omission when the
/// client stalls.
struct LoadReport {
  std::uint64_t sent = 0;         ///< requests that were due
  std::uint64_t good = 0;         ///< complete, correct responses below 500
  std::uint64_t refused = 0;      ///< marked not run
  std::uint64_t unknown = 0;      ///< marked as having an unknown outcome
  std::uint64_t failed = 0;       ///< other responses of 500 and above
  std::uint64_t wrong = 0;        ///< response belongs to another request
  std::uint64_t truncated = 0;    ///< shorter than requested, but well framed
  std::uint64_t broken = 0;       ///< connection closed before the response
  std::uint64_t timed_out = 0;    ///< no response within the client time-out
  std::uint64_t unconnected = 0;  ///< no endpoint accepted a connection
  std::vector<std::uint32_t> latencies_us{};  ///< of the good responses
  std::set<std::string> refused_ids{};        ///< request ids marked not run

  /// Returns the given quantile (0 to 1) of latencies_us in microseconds; 0 if
  /// it is empty.
  std::uint32_t Quantile(double share) const;

  /// Formats the counts and latencies as one line of key=value pairs, given the
  /// duration of the load.
  std::string ToString(double seconds) const;
};

/// Open-loop load generator. Sends requests at a fixed rate regardless of their
/// completion, and checks each response against the one expected of the target
/// stand-in.
///
/// All work is done on the calling thread of Run. RunAll runs several loads
/// concurrently.
class LoadClient {
 public:
  struct Options {
    std::vector<Endpoint> endpoints{};  ///< used in turn
    double rate = 100;                  ///< requests per second
    std::string path = "/work";         ///< path and query
    std::string method = "GET";         ///< HTTP method
    std::string id_prefix = "r";        ///< makes request ids unique
    bool keyed = false;                 ///< sends an idempotency key
    std::size_t answer_bytes = 256;     ///< length of each response body
    std::uint32_t work_ms = 0;          ///< duration of each run
    Milliseconds deadline{1000};        ///< deadline sent to the proxy
    Milliseconds client_timeout{3000};  ///< client-side time-out
    std::size_t max_in_flight = 4096;   ///< further due requests are dropped
  };

  /// @pre options.endpoints is not empty, options.rate > 0.
  explicit LoadClient(Options options);
  ~LoadClient();

  /// Runs several loads concurrently for the given time, then waits for their
  /// outstanding responses. Must be called from one thread.
  static void RunAll(const std::vector<LoadClient*>& clients,
                     Milliseconds duration);

  /// Runs only this load. Must be called from one thread.
  void Run(Milliseconds duration) { RunAll({this}, duration); }

  const LoadReport& report() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_LOAD_LOAD_CLIENT_H_

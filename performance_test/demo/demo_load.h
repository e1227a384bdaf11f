#ifndef CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_LOAD_H_
#define CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_LOAD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/time.h"

namespace camphor {

/// Outcomes of the requests of the demo's callers. Immutable value type.
struct DemoCounts {
  std::uint64_t sent = 0;       ///< requests sent
  std::uint64_t answered = 0;   ///< complete and correct responses of 200
  std::uint64_t wrong = 0;      ///< response to another request, or truncated
  std::uint64_t errors = 0;     ///< errors of a bad target version
  std::uint64_t refused = 0;    ///< refusals marked as not run
  std::uint64_t no_answer = 0;  ///< connection failed or call timed out
  std::map<std::string, std::uint64_t>
      by_version{};  ///< responses by target version

  auto operator<=>(const DemoCounts&) const = default;
};

/// Callers that send requests to all hosts in turn until destruction.
///
/// A caller continues with the next host after a failed call, as a real client
/// does.
class DemoLoad {
 public:
  struct Options {
    std::vector<Endpoint> hosts{};     ///< caller listeners
    unsigned callers = 6;              ///< number of concurrent callers
    Milliseconds pause{4};             ///< delay between requests of a caller
    std::vector<std::string> paths{};  ///< request paths, used in turn
  };

  explicit DemoLoad(Options options);

  /// Stops the callers and joins their threads.
  ~DemoLoad();

  DemoLoad(const DemoLoad&) = delete;
  DemoLoad& operator=(const DemoLoad&) = delete;

  /// Counts so far. Thread-safe.
  DemoCounts counts() const;

 private:
  void Run(unsigned caller);

  Options options_;
  mutable std::mutex mutex_;
  DemoCounts counts_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

/// Returns the counts between two snapshots. Thread-safe.
DemoCounts Difference(const DemoCounts& before, const DemoCounts& after);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_LOAD_H_

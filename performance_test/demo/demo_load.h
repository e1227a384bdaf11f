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

/// What the callers of the demo saw. Immutable value type.
struct DemoCounts {
  std::uint64_t sent = 0;       ///< requests that were sent
  std::uint64_t answered = 0;   ///< whole answers of 200 to their own request
  std::uint64_t wrong = 0;      ///< answers to another request, or truncated
  std::uint64_t errors = 0;     ///< answers of a bad target version
  std::uint64_t refused = 0;    ///< refusals that say not run
  std::uint64_t no_answer = 0;  ///< the host that was called went away
  std::map<std::string, std::uint64_t> by_version{};  ///< by target version

  auto operator<=>(const DemoCounts&) const = default;
};

/// Callers that send requests to every host in turn until they are stopped.
///
/// A caller whose host went away goes on with the next one, as a real one does.
class DemoLoad {
 public:
  struct Options {
    std::vector<Endpoint> hosts{};     ///< callers' listeners
    unsigned callers = 6;              ///< requests in flight at most
    Milliseconds pause{4};             ///< between two requests of one caller
    std::vector<std::string> paths{};  ///< paths that are asked for in turn
  };

  explicit DemoLoad(Options options);

  /// Stops the callers and waits for them.
  ~DemoLoad();

  DemoLoad(const DemoLoad&) = delete;
  DemoLoad& operator=(const DemoLoad&) = delete;

  /// What was seen so far. Thread safety: any thread.
  DemoCounts counts() const;

 private:
  void Run(unsigned caller);

  Options options_;
  mutable std::mutex mutex_;
  DemoCounts counts_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

/// What was seen between two moments. Thread safety: any thread.
DemoCounts Difference(const DemoCounts& before, const DemoCounts& after);

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_DEMO_DEMO_LOAD_H_

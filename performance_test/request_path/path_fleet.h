#ifndef CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_PATH_FLEET_H_
#define CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_PATH_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "performance_test/load/load_client.h"
#include "performance_test/request_path/silent_relay.h"
#include "stand_ins/target/target_announcer.h"

namespace camphor {

/// Fleet of real processes for measurements of the request path. Callers
/// connect to h1 to h3 and targets run on h4 to h6, so that each request takes
/// two hops.
class PathFleet {
 public:
  struct Options {
    unsigned slots = 10;       ///< slots of each target
    unsigned targets = 3;      ///< placed on h4, h5, h6 in turn
    bool with_relay = false;   ///< puts a relay in front of each target
    bool retry_budget = true;  ///< false disables the proxies' budget
  };

  explicit PathFleet(Options options);
  ~PathFleet();

  /// Starts all processes and applies the tables. Returns false and sets
  /// last_reason if a process does not start or become ready.
  bool Start();

  /// Caller listeners of h1 to h3.
  std::vector<Endpoint> callers() const;

  /// Listeners of the targets, without relays.
  std::vector<Endpoint> targets() const;

  /// Silences all open connections between proxies and targets, and returns
  /// their number. Needs Options::with_relay.
  std::size_t SilenceConnections();

  /// Number of runs by request id and by idempotency key on all targets,
  /// including targets that have exited.
  struct Runs {
    std::map<std::string, std::uint64_t> by_request;
    std::map<std::string, std::uint64_t> by_key;
  };
  Runs CollectRuns() const;

  Fleet& fleet() { return fleet_; }
  const std::string& last_reason() const { return fleet_.last_reason(); }

 private:
  bool StartTarget(unsigned number);

  Options options_;
  Fleet fleet_;
  std::vector<std::unique_ptr<SilentRelay>> relays_;
  std::vector<std::unique_ptr<TargetAnnouncer>> announcers_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PERFORMANCE_TEST_REQUEST_PATH_PATH_FLEET_H_

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

/// Real processes to measure the request path on: callers use h1 to h3, targets
/// run on h4 to h6, so that each request takes two hops.
class PathFleet {
 public:
  struct Options {
    unsigned slots = 10;       ///< of each target
    unsigned targets = 3;      ///< on h4, h5, h6 in turn
    bool with_relay = false;   ///< puts a relay before each target
    bool retry_budget = true;  ///< false lifts the proxies' budget
  };

  explicit PathFleet(Options options);
  ~PathFleet();

  /// Starts everything and applies the tables. Returns false, with last_reason
  /// set, when something does not come up.
  bool Start();

  /// Where callers connect.
  std::vector<Endpoint> callers() const;

  /// Where the targets themselves listen.
  std::vector<Endpoint> targets() const;

  /// Silences every open connection between proxies and targets.
  std::size_t SilenceConnections();

  /// Runs by request id and by idempotency key, of all targets, also dead ones.
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

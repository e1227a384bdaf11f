#ifndef CAMPHORHILL_HARNESS_FUZZ_LISTENER_FUZZ_RUN_H_
#define CAMPHORHILL_HARNESS_FUZZ_LISTENER_FUZZ_RUN_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "harness/fuzz/case_player.h"
#include "harness/process_usage.h"

namespace camphor {

/// Tables for a host that fuzz cases are played against, with the routes of
/// request_fuzzer.h. `queue` is the queue length of the pool p1; each value
/// gives another configuration.
std::string MakeFuzzTables(unsigned queue);

/// Plays fuzz cases against the callers' listener of one camphord process with
/// two targets, and checks after each batch of rounds that the process is
/// alive, that its descriptors are within the bound, that an ordinary request
/// is answered, and that no request ran which was refused as not run or which
/// was part of another one's body. At the end the process must exit cleanly,
/// without a report of a sanitizer.
///
/// Must be used from one thread.
class ListenerFuzzRun {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::uint64_t first_round = 0;
    std::uint64_t rounds = 1;
    std::size_t steps =
        std::numeric_limits<std::size_t>::max();  ///< of each round
    std::string programs{};  ///< folder of the programs; empty: of this one
  };

  explicit ListenerFuzzRun(Options options);
  ~ListenerFuzzRun();

  /// Runs all rounds. Returns false and sets last_reason() and failed_round()
  /// at the first violation.
  bool Run();

  /// What was wrong.
  const std::string& last_reason() const { return last_reason_; }

  /// Round of the violation; nullopt if it is known only to be in one of the
  /// rounds played so far.
  std::optional<std::uint64_t> failed_round() const { return failed_round_; }

  /// Responses received so far, and those of 200 to well-formed requests.
  std::size_t responses() const { return responses_; }
  std::size_t answered() const { return answered_; }

 private:
  bool Start();
  bool PlayRound(std::uint64_t round);
  bool CheckBatch();
  bool CheckRuns();
  bool CheckExit();
  bool IsOrdinaryRequestAnswered();
  bool Fail(std::string reason, std::optional<std::uint64_t> round = {});

  Options options_;
  std::unique_ptr<Fleet> fleet_;
  std::optional<ProcessUsage> before_;
  std::set<std::string> refused_;   // ids of requests refused as not run
  std::set<std::string> smuggled_;  // ids that must not run
  std::size_t responses_ = 0;
  std::size_t answered_ = 0;
  std::optional<std::uint64_t> failed_round_;
  std::string last_reason_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_FUZZ_LISTENER_FUZZ_RUN_H_

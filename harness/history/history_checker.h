#ifndef CAMPHORHILL_HARNESS_HISTORY_HISTORY_CHECKER_H_
#define CAMPHORHILL_HARNESS_HISTORY_HISTORY_CHECKER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// A safety invariant that every history must satisfy.
enum class Invariant : std::uint8_t {
  kVersionMonotonic,     ///< the version served by a host never decreases
  kVersionDigestUnique,  ///< a version has the same digest on all hosts
  kCorrectPool,          ///< a response comes from the pool of its route
  kAtMostOnce,           ///< an idempotency key runs at most once
  kRefusedNotRun,        ///< a request refused as not run was not run
  kResponseIntact,       ///< each response is complete and the caller's own
  kNoWorkAfterLeave,     ///< a leaving target gets no new work after a grace
                         ///< period
  kNoAbortOnDrain,       ///< a graceful shutdown aborts no request
  kEditsLinearizable,    ///< edits are linearizable
  kNoWorkAfterRollback,  ///< a version gets no work after its rollback
};

/// Name of an invariant in reports. Thread-safe.
std::string_view InvariantName(Invariant invariant);

/// One violation of an invariant by a history. Immutable value type.
struct Violation {
  Invariant invariant = Invariant::kVersionMonotonic;  ///< violated invariant
  std::string sentence{};                              ///< observed events

  auto operator<=>(const Violation&) const = default;
};

/// Checks a recorded run against all invariants.
///
/// Each check is a pure function of the history and reports all violations.
class HistoryChecker {
 public:
  struct Options {
    Milliseconds leave_grace{
        2000};  ///< maximum time from the leave request to the last run
    Milliseconds rollback_grace{2000};  ///< maximum time from the rollback
                                        ///< event of the last host to the last
                                        ///< run of that version
  };

  explicit HistoryChecker(Options options) : options_(options) {}

  /// Returns all violations in the order of the invariants. Thread-safe.
  std::vector<Violation> Check(const History& history) const;

 private:
  Options options_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_HISTORY_CHECKER_H_

#ifndef CAMPHORHILL_HARNESS_HISTORY_HISTORY_CHECKER_H_
#define CAMPHORHILL_HARNESS_HISTORY_HISTORY_CHECKER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// A promise that a history can break.
enum class Promise : std::uint8_t {
  kVersionNeverFalls,  ///< no host serves an older version than before
  kVersionWhole,       ///< one version has one digest everywhere
  kRightPool,          ///< an answer comes from a target of its route's pool
  kAtMostOnce,         ///< a key runs at most once
  kRefusalNotRun,      ///< what is refused as not run was not run
  kWholeOwnAnswer,     ///< a caller gets the whole answer to its request
  kLeavingGetsNoWork,  ///< a leaving target gets no new work after a while
  kDrainCutsNothing,   ///< a graceful shutdown cuts off no request
  kEditsLinearizable,  ///< edits take effect one after another
  kRolledBackGetsNothing,  ///< a version that was rolled back gets no work
};

/// Name of a promise for reports.
std::string_view PromiseName(Promise promise);

/// One way in which a history breaks a promise. Immutable value type.
struct Violation {
  Promise promise = Promise::kVersionNeverFalls;  ///< which promise
  std::string sentence{};                         ///< what was seen

  auto operator<=>(const Violation&) const = default;
};

/// Checks a recorded run against every promise.
///
/// Each check is a pure function of the history; none stops at the first
/// violation.
class HistoryChecker {
 public:
  struct Options {
    Milliseconds leave_grace{2000};  ///< a leaving target may get work so long
    Milliseconds rollback_grace{2000};  ///< the same for a version, after the
                                        ///< last host heard that it is rolled
                                        ///< back
  };

  explicit HistoryChecker(Options options) : options_(options) {}

  /// Every violation, in the order of the promises. Thread safety: any thread.
  std::vector<Violation> Check(const History& history) const;

 private:
  Options options_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_HISTORY_CHECKER_H_

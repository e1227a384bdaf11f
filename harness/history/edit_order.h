#ifndef CAMPHORHILL_HARNESS_HISTORY_EDIT_ORDER_H_
#define CAMPHORHILL_HARNESS_HISTORY_EDIT_ORDER_H_

#include <string>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// Checks that the edits of the tables are linearizable: there is an order,
/// consistent with real time, in which each accepted edit increments its base
/// version by one and each conflicting edit encountered a version other than
/// its base.
///
/// The versions define the order, so no search is needed: accepted edits have
/// distinct versions, each is based on the preceding version, an edit that
/// ended before another began has the lower version, and each conflict overlaps
/// or follows the edit that caused it. An edit with unknown outcome may take
/// effect at any time after it was sent, or never; a gap in the versions must
/// be explained by such an edit.
///
/// Returns one message for each violation. Thread-safe.
std::vector<std::string> CheckEditOrder(const std::vector<EditEvent>& edits);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_EDIT_ORDER_H_

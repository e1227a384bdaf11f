#ifndef CAMPHORHILL_HARNESS_HISTORY_EDIT_ORDER_H_
#define CAMPHORHILL_HARNESS_HISTORY_EDIT_ORDER_H_

#include <string>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// Checks that the edits of the tables are linearizable: there is an order of
/// them, one that agrees with real time, in which each accepted edit raises the
/// version that it was based on by one and each conflict saw another version.
///
/// The versions give that order, so that no search is needed: the versions of
/// accepted edits are distinct, none was made on another base than the one
/// before, an edit that ended before another began has the lower version, and
/// each conflict overlaps or follows the edit that overtook it. An edit whose
/// outcome is unknown may take effect at any time after it was sent, or never;
/// a missing version must be explained by one of these.
///
/// Returns one sentence for each violation. Thread safety: any thread.
std::vector<std::string> CheckEditOrder(const std::vector<EditEvent>& edits);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_EDIT_ORDER_H_

#ifndef CAMPHORHILL_HARNESS_HISTORY_HISTORY_READER_H_
#define CAMPHORHILL_HARNESS_HISTORY_HISTORY_READER_H_

#include <string>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// Adds the history lines of a fleet's processes to the history. Each line is
/// the process's name, a space, and what it logged. Lines of kinds that no
/// check needs are passed over. Thread safety: any thread.
void ReadHistoryLines(const std::vector<std::string>& lines, History& history);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_HISTORY_READER_H_

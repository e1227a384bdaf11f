#ifndef CAMPHORHILL_HARNESS_HISTORY_HISTORY_READER_H_
#define CAMPHORHILL_HARNESS_HISTORY_HISTORY_READER_H_

#include <string>
#include <vector>

#include "harness/history/history.h"

namespace camphor {

/// Adds the history lines of the processes of a fleet to the history. Each line
/// consists of the process name, a space and the logged line. Events that no
/// check uses are ignored. Thread-safe.
void ReadHistoryLines(const std::vector<std::string>& lines, History& history);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_HISTORY_HISTORY_READER_H_

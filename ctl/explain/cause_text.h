#ifndef CAMPHORHILL_CTL_EXPLAIN_CAUSE_TEXT_H_
#define CAMPHORHILL_CTL_EXPLAIN_CAUSE_TEXT_H_

#include <string>

#include "ctl/explain/log_line.h"

namespace camphor {

/// Returns one sentence on the cause of the outcome that `line` reports,
/// followed by the values that the decision was based on. Thread-safe.
std::string DescribeCause(const LogLine& line);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_CAUSE_TEXT_H_

#ifndef CAMPHORHILL_CTL_EXPLAIN_CAUSE_TEXT_H_
#define CAMPHORHILL_CTL_EXPLAIN_CAUSE_TEXT_H_

#include <string>

#include "ctl/explain/log_line.h"

namespace camphor {

/// One sentence on why a request ended as the line says, with the inputs that
/// decided it. Thread safety: any thread.
std::string CauseOf(const LogLine& line);

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_CAUSE_TEXT_H_

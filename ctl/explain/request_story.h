#ifndef CAMPHORHILL_CTL_EXPLAIN_REQUEST_STORY_H_
#define CAMPHORHILL_CTL_EXPLAIN_REQUEST_STORY_H_

#include <string>
#include <string_view>
#include <vector>

#include "ctl/explain/log_line.h"

namespace camphor {

/// What the logs tell of one request. Immutable value type.
struct RequestStory {
  std::vector<LogLine> lines{};     ///< of the request, in order
  std::vector<LogLine> context{};   ///< what its hosts came to believe shortly
                                    ///< before, as far as it bears on it
  std::string cause{};              ///< why it ended as it did
  std::vector<std::string> gaps{};  ///< what may be missing

  /// Joins the lines of several hosts. @pre `log` is sorted by time. Thread
  /// safety: any thread.
  static RequestStory Of(const std::vector<LogLine>& log,
                         std::string_view request);

  /// The story for people, a line for each step. Thread safety: any thread.
  std::string Text() const;

  auto operator<=>(const RequestStory&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CTL_EXPLAIN_REQUEST_STORY_H_

#ifndef CAMPHORHILL_PROXY_HEADER_VOCABULARY_H_
#define CAMPHORHILL_PROXY_HEADER_VOCABULARY_H_

#include <compare>
#include <string>

namespace camphor {

/// Names of the headers that callers and targets speak; the headers between two
/// hosts are the product's own. An empty name switches its header off.
/// Immutable value type.
struct HeaderVocabulary {
  std::string deadline = "X-Camphor-Deadline-Ms";  ///< time left, milliseconds
  std::string attempt = "X-Camphor-Attempt";  ///< number of the attempt, told
                                              ///< to the target
  std::string request_id{};  ///< names a request; a target's answer repeats it
  std::string expected_target{};  ///< id of the target that a request is for
  std::string caller_pool{};      ///< pool of the host where a request began
  std::string not_run = "X-Camphor-Not-Run";  ///< in a target's answer: it did
                                              ///< not run the request
  std::string receipt{};      ///< a success without it is no answer of a target
  bool plain_bodies = false;  ///< true: an answer with a Content-Encoding is no
                              ///< answer of a target
  bool unframed_responses =
      false;  ///< true: an answer may end with its connection
  bool fractional_retry_after =
      false;  ///< true: Retry-After may have parts of a second

  auto operator<=>(const HeaderVocabulary&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HEADER_VOCABULARY_H_

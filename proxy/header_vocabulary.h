#ifndef CAMPHORHILL_PROXY_HEADER_VOCABULARY_H_
#define CAMPHORHILL_PROXY_HEADER_VOCABULARY_H_

#include <compare>
#include <string>

namespace camphor {

/// Names of the headers exchanged with callers and targets. Headers between two
/// hosts are fixed. An empty name disables its header. Immutable value type.
struct HeaderVocabulary {
  std::string deadline =
      "X-Camphor-Deadline-Ms";  ///< remaining time in milliseconds
  std::string attempt =
      "X-Camphor-Attempt";   ///< attempt number, sent to the target
  std::string request_id{};  ///< request id, echoed in the target's response
  std::string
      expected_target{};  ///< id of the target that the request is meant for
  std::string
      caller_pool{};  ///< pool of the host where the request entered the mesh
  std::string team_key{};  ///< API key of the caller's team; never forwarded
  std::string team{};      ///< name of the caller's team, sent to the target
  std::string not_run = "X-Camphor-Not-Run";  ///< response header of a target
                                              ///< that did not run the request
  std::string receipt{};        ///< required in a target's successful response
  std::string request_limit{};  ///< response header of a target in need:
                                ///< requests per second that it takes from all
                                ///< hosts together, while it says so
  std::string leaving{};        ///< response header of a target that leaves
  bool plain_bodies =
      false;  ///< true: responses with a Content-Encoding are rejected
  bool unframed_responses =
      false;  ///< true: a response may be delimited by connection close
  bool fractional_retry_after =
      false;  ///< true: Retry-After may be a fraction of a second

  auto operator<=>(const HeaderVocabulary&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HEADER_VOCABULARY_H_

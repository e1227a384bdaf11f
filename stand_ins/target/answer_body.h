#ifndef CAMPHORHILL_STAND_INS_TARGET_ANSWER_BODY_H_
#define CAMPHORHILL_STAND_INS_TARGET_ANSWER_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace camphor {

/// Returns the response body of a target stand-in for a request id. It repeats
/// the id up to exactly `bytes` bytes, so that a caller detects a truncated
/// response and one that belongs to another request. Thread-safe.
std::string AnswerBody(std::string_view request_id, std::size_t bytes);

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_TARGET_ANSWER_BODY_H_

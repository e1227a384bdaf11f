#ifndef CAMPHORHILL_STAND_INS_TARGET_ANSWER_BODY_H_
#define CAMPHORHILL_STAND_INS_TARGET_ANSWER_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace camphor {

/// The body that a target stand-in answers to the request of the given id: it
/// names the request and is as long as asked, so that a caller can tell another
/// request's answer and a truncated one. Thread safety: any thread.
std::string AnswerBody(std::string_view request_id, std::size_t bytes);

}  // namespace camphor

#endif  // CAMPHORHILL_STAND_INS_TARGET_ANSWER_BODY_H_

#include "stand_ins/target/answer_body.h"

namespace camphor {

std::string AnswerBody(std::string_view request_id, std::size_t bytes) {
  std::string line = "answer to ";
  line.append(request_id).push_back('\n');
  std::string body;
  body.reserve(bytes + line.size());
  while (body.size() < bytes) body += line;
  body.resize(bytes);
  return body;
}

}  // namespace camphor

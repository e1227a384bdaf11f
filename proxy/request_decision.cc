#include "proxy/request_decision.h"

#include "proxy/error_response.h"

namespace camphor {

RequestDecision::Kind DecisionKindForError(ProxyError error) {
  if (error == ProxyError::kCallerGone)
    return RequestDecision::Kind::kCancelled;
  return GetErrorTraits(error).not_run ? RequestDecision::Kind::kRefused
                                       : RequestDecision::Kind::kFailed;
}

}  // namespace camphor

#include "proxy/placed_request.h"

namespace camphor {

ProxyError ToProxyError(Exchange::SendResult sent,
                        const RequestControl& control) {
  switch (sent) {
    case Exchange::SendResult::kStopped:
      return control.stopped() == RequestControl::Stop::kCallerGone
                 ? ProxyError::kCallerGone
                 : ProxyError::kDeadline;
    case Exchange::SendResult::kSilenceTimeout:
    case Exchange::SendResult::kAbandoned:
      return ProxyError::kSilent;
    case Exchange::SendResult::kBadAnswer:
      return ProxyError::kBadAnswer;
    default:
      return ProxyError::kTargetBroke;
  }
}

}  // namespace camphor

#include "proxy/placed_request.h"

namespace camphor {

ProxyError ErrorOfSent(Exchange::Sent sent, const RequestControl& control) {
  switch (sent) {
    case Exchange::Sent::kStopped:
      return control.stopped() == RequestControl::Stop::kCallerGone
                 ? ProxyError::kCallerGone
                 : ProxyError::kDeadline;
    case Exchange::Sent::kSilent:
    case Exchange::Sent::kAbandoned:
      return ProxyError::kSilent;
    case Exchange::Sent::kBadAnswer:
      return ProxyError::kBadAnswer;
    default:
      return ProxyError::kTargetBroke;
  }
}

}  // namespace camphor

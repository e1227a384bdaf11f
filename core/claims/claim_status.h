#ifndef CAMPHORHILL_CORE_CLAIMS_CLAIM_STATUS_H_
#define CAMPHORHILL_CORE_CLAIMS_CLAIM_STATUS_H_

#include <cstdint>

namespace camphor {

/// Result of an idempotency claim.
enum class ClaimStatus : std::uint8_t {
  kGranted,         ///< only this request may run under the key
  kAlreadyClaimed,  ///< another attempt holds the key; this one must not run
  kNotMade,  ///< no claim was written; the request was not run and may be
             ///< retried
  kUnknown,  ///< the claim may have been written; this attempt must not run
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CLAIMS_CLAIM_STATUS_H_

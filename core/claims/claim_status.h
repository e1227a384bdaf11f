#ifndef CAMPHORHILL_CORE_CLAIMS_CLAIM_STATUS_H_
#define CAMPHORHILL_CORE_CLAIMS_CLAIM_STATUS_H_

#include <cstdint>

namespace camphor {

/// What is known of an idempotency claim.
enum class ClaimStatus : std::uint8_t {
  kGranted,         ///< this request alone may run under the key
  kAlreadyClaimed,  ///< another attempt holds the key: this one must not run
  kNotMade,  ///< no claim stands: the request was not run and may be sent again
  kUnknown,  ///< it can not be said whether the claim stands: this attempt must
             ///< not run
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CLAIMS_CLAIM_STATUS_H_

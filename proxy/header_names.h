#ifndef CAMPHORHILL_PROXY_HEADER_NAMES_H_
#define CAMPHORHILL_PROXY_HEADER_NAMES_H_

#include <string_view>

namespace camphor {

// Headers that callers may send.
inline constexpr std::string_view kDeadlineHeader = "X-Camphor-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

// Headers that are also sent to targets.
inline constexpr std::string_view kAttemptHeader = "X-Camphor-Attempt";

// Response headers.
inline constexpr std::string_view kNotRunHeader = "X-Camphor-Not-Run";
inline constexpr std::string_view kOutcomeHeader = "X-Camphor-Outcome";
inline constexpr std::string_view kReasonHeader = "X-Camphor-Reason";
inline constexpr std::string_view kTargetHeader = "X-Camphor-Target";
inline constexpr std::string_view kVersionHeader = "X-Camphor-Version";

// Headers between the proxies of two hosts.
inline constexpr std::string_view kInternalPrefix = "X-Camphor-";
inline constexpr std::string_view kControlHeader = "X-Camphor-Control";
inline constexpr std::string_view kNonceHeader = "X-Camphor-Nonce";
inline constexpr std::string_view kProofHeader = "X-Camphor-Proof";
inline constexpr std::string_view kTargetIdHeader = "X-Camphor-Target-Id";
inline constexpr std::string_view kPoolHeader = "X-Camphor-Pool";
inline constexpr std::string_view kClaimHeader = "X-Camphor-Claim";
inline constexpr std::string_view kFingerprintHeader = "X-Camphor-Fingerprint";
inline constexpr std::string_view kPriorityHeader = "X-Camphor-Priority";
inline constexpr std::string_view kWantedHeader = "X-Camphor-Wanted-Ms";
inline constexpr std::string_view kWorkClassHeader = "X-Camphor-Work-Class";
inline constexpr std::string_view kLoadHeader = "X-Camphor-Load";
inline constexpr std::string_view kSuspectHeader = "X-Camphor-Suspect";
inline constexpr std::string_view kTargetDiedHeader = "X-Camphor-Target-Died";

inline constexpr std::string_view kHelloControl = "hello";
inline constexpr std::string_view kPingControl = "ping";

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_HEADER_NAMES_H_

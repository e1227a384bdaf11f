#ifndef CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_REPORT_H_
#define CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_REPORT_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Number of buckets of a latency histogram; see LatencyBucketIndex()
/// (latency_histogram.h).
inline constexpr std::size_t kLatencyBuckets = 32;

using LatencyHistogram = std::array<std::uint32_t, kLatencyBuckets>;

/// Request counts of one target on one route during one period. Immutable value
/// type.
struct EvidenceCell {
  RouteName route;             ///< route of the requests
  TargetVersion version;       ///< version of the target
  TargetId target;             ///< target that ran the requests
  std::uint64_t requests = 0;  ///< completed requests, including failures
  std::uint64_t failures = 0;  ///< errors, timeouts and target deaths
  std::uint64_t refused = 0;   ///< shed requests, not included in `requests`
  LatencyHistogram latency{};  ///< latencies of the successful requests

  auto operator<=>(const EvidenceCell&) const = default;
};

/// Evidence about one rollout, collected in one period by a host and the hosts
/// that report to it. Immutable value type.
///
/// Reports are summed hop by hop on the way to the owner of the rollout. Each
/// period of a reporter is counted once.
struct EvidenceReport {
  RolloutId rollout;              ///< rollout that the evidence belongs to
  HostId reporter;                ///< host that summed and sent the report
  std::uint64_t incarnation = 0;  ///< incarnation of the reporter
  std::uint64_t period =
      0;  ///< period number, increasing with each report of the reporter
  std::uint32_t hosts = 0;  ///< number of hosts that contributed
  std::vector<EvidenceCell>
      cells{};  ///< one for each route, version and target seen

  auto operator<=>(const EvidenceReport&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_REPORT_H_

#ifndef CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_REPORT_H_
#define CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_REPORT_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Buckets of a latency histogram; LatencyBucketOf (latency_histogram.h) says
/// which latency goes where.
inline constexpr std::size_t kLatencyBuckets = 32;

using LatencyHistogram = std::array<std::uint32_t, kLatencyBuckets>;

/// What one target did on one route during one period. Immutable value type.
struct EvidenceCell {
  RouteName route;             ///< route that the requests came by
  TargetVersion version;       ///< version that ran them
  TargetId target;             ///< target that ran them
  std::uint64_t requests = 0;  ///< requests that were run to an end
  std::uint64_t failures = 0;  ///< of these: errors, timeouts and deaths
  std::uint64_t refused = 0;   ///< requests that were shed, not counted above
  LatencyHistogram latency{};  ///< histogram of the requests that succeeded

  auto operator<=>(const EvidenceCell&) const = default;
};

/// Evidence of one rollout that a host, with those that report to it, saw in
/// one period. Immutable value type.
///
/// Reports are summed on the way to the owner of the rollout; each host's
/// period is counted once.
struct EvidenceReport {
  RolloutId rollout;              ///< rollout that it is about
  HostId reporter;                ///< host that sums and sends it
  std::uint64_t incarnation = 0;  ///< incarnation of the reporter
  std::uint64_t period =
      0;  ///< number of the period, rising with each report of the reporter
  std::uint32_t hosts = 0;  ///< hosts whose evidence is inside
  std::vector<EvidenceCell>
      cells{};  ///< one for each route, version and target seen

  auto operator<=>(const EvidenceReport&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_REPORT_H_

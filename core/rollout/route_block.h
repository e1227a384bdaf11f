#ifndef CAMPHORHILL_CORE_ROLLOUT_ROUTE_BLOCK_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROUTE_BLOCK_H_

#include <cstdint>
#include <vector>

#include "core/rollout/evidence_report.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// The cells of one version on one route in a block, with their sums.
struct VersionCells {
  std::vector<const EvidenceCell*> cells{};  ///< one for each target
  std::uint64_t requests = 0;                ///< run or refused
  std::uint64_t failures = 0;                ///< failed or refused
  std::uint64_t refused = 0;                 ///< refused
  std::uint64_t successes = 0;               ///< requests in the histogram
  LatencyHistogram latency{};                ///< of the successes
};

/// The part of a block that one route has.
struct RouteBlock {
  RouteName route;             ///< which route
  VersionCells old_version{};  ///< what the old version did
  VersionCells new_version{};  ///< what the new version did
};

/// Requests of a cell, with the refused ones.
inline std::uint64_t RequestsOf(const EvidenceCell& cell) {
  return cell.requests + cell.refused;
}

/// Failures of a cell, with the refused requests.
inline std::uint64_t FailuresOf(const EvidenceCell& cell) {
  return cell.failures + cell.refused;
}

/// Requests in buckets from `bucket` upwards. @pre bucket <= kLatencyBuckets.
std::uint64_t CountFrom(const LatencyHistogram& histogram, std::size_t bucket);

/// Splits a block by route, in the order of the routes. The result points into
/// the block. Thread safety: any thread.
std::vector<RouteBlock> SplitByRoute(const EvidenceBlock& block);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROUTE_BLOCK_H_

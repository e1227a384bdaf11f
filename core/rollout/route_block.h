#ifndef CAMPHORHILL_CORE_ROLLOUT_ROUTE_BLOCK_H_
#define CAMPHORHILL_CORE_ROLLOUT_ROUTE_BLOCK_H_

#include <cstdint>
#include <vector>

#include "core/rollout/evidence_report.h"
#include "core/rollout/version_judge.h"

namespace camphor {

/// Cells of one version on one route in a block, and their sums.
struct VersionCells {
  std::vector<const EvidenceCell*> cells{};  ///< one for each target
  std::uint64_t requests = 0;   ///< requests, including refused ones
  std::uint64_t failures = 0;   ///< failed and refused requests
  std::uint64_t refused = 0;    ///< refused requests
  std::uint64_t successes = 0;  ///< successful requests
  LatencyHistogram latency{};   ///< latencies of the successful requests
};

/// Evidence of one route in a block.
struct RouteBlock {
  RouteName route;             ///< name of the route
  VersionCells old_version{};  ///< evidence of the old version
  VersionCells new_version{};  ///< evidence of the new version
};

/// Returns the number of requests of a cell, including refused ones.
inline std::uint64_t TotalRequests(const EvidenceCell& cell) {
  return cell.requests + cell.refused;
}

/// Returns the number of failed and refused requests of a cell.
inline std::uint64_t TotalFailures(const EvidenceCell& cell) {
  return cell.failures + cell.refused;
}

/// Returns the number of requests in `bucket` and all higher buckets. @pre
/// bucket <= kLatencyBuckets.
std::uint64_t CountFrom(const LatencyHistogram& histogram, std::size_t bucket);

/// Splits a block by route, ordered by route. The result points into the block.
/// Thread-safe.
std::vector<RouteBlock> SplitByRoute(const EvidenceBlock& block);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_ROUTE_BLOCK_H_

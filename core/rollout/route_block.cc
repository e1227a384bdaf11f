#include "core/rollout/route_block.h"

#include <cassert>
#include <numeric>

namespace camphor {
namespace {

void AddCell(VersionCells& version, const EvidenceCell& cell) {
  version.cells.push_back(&cell);
  version.requests += TotalRequests(cell);
  version.failures += TotalFailures(cell);
  version.refused += cell.refused;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    version.latency[bucket] += cell.latency[bucket];
    version.successes += cell.latency[bucket];
  }
}

}  // namespace

std::uint64_t CountFrom(const LatencyHistogram& histogram, std::size_t bucket) {
  assert(bucket <= kLatencyBuckets);
  return std::accumulate(
      histogram.begin() + static_cast<std::ptrdiff_t>(bucket), histogram.end(),
      std::uint64_t{0});
}

std::vector<RouteBlock> SplitByRoute(const EvidenceBlock& block) {
  std::vector<RouteBlock> routes;
  for (const EvidenceCell& cell : block.cells) {
    if (routes.empty() || routes.back().route != cell.route) {
      routes.push_back({.route = cell.route});
    }
    if (cell.version == block.old_version) {
      AddCell(routes.back().old_version, cell);
    } else if (cell.version == block.new_version) {
      AddCell(routes.back().new_version, cell);
    }
  }
  return routes;
}

}  // namespace camphor

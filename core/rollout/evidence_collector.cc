#include "core/rollout/evidence_collector.h"

#include <cassert>
#include <utility>

#include "core/rollout/latency_histogram.h"

namespace camphor {
namespace {

void AddCounts(EvidenceCell& sum, const EvidenceCell& cell) {
  sum.requests += cell.requests;
  sum.failures += cell.failures;
  sum.refused += cell.refused;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    sum.latency[bucket] += cell.latency[bucket];
  }
}

}  // namespace

void EvidenceCollector::AddSample(const RequestSample& sample) {
  if (sample.outcome == RequestOutcome::kCancelled) return;
  EvidenceCell& cell = OwnCell(sample);
  switch (sample.outcome) {
    case RequestOutcome::kSuccess:
      ++cell.requests;
      ++cell.latency[LatencyBucketOf(sample.latency)];
      break;
    case RequestOutcome::kRefused:
      ++cell.refused;
      break;
    default:
      ++cell.requests;
      ++cell.failures;
  }
}

bool EvidenceCollector::AddReport(const EvidenceReport& report) {
  const Position position{.incarnation = report.incarnation,
                          .period = report.period};
  const auto [last, first] = counted_.try_emplace(report.reporter, position);
  if (!first) {
    if (position <= last->second) return false;
    last->second = position;
  }
  for (const EvidenceCell& cell : report.cells) AddCell(summed_, cell);
  hosts_ += report.hosts;
  return true;
}

std::vector<EvidenceCell> EvidenceCollector::TakeOwn() {
  std::vector<EvidenceCell> cells = CellsOf(own_);
  own_.clear();
  indexed_ = nullptr;
  for (const EvidenceCell& cell : cells) AddCell(summed_, cell);
  if (!cells.empty()) ++hosts_;
  return cells;
}

std::vector<EvidenceCell> EvidenceCollector::TakeSummed(std::uint32_t& hosts) {
  TakeOwn();
  std::vector<EvidenceCell> cells = CellsOf(summed_);
  summed_.clear();
  hosts = std::exchange(hosts_, 0);
  return cells;
}

void EvidenceCollector::Clear() {
  own_.clear();
  summed_.clear();
  hosts_ = 0;
  indexed_ = nullptr;
}

EvidenceCell& EvidenceCollector::OwnCell(const RequestSample& sample) {
  const EffectiveRouting& routing = *sample.routing;
  assert(sample.route < routing.routes.size());
  const RoutedRule& rule = routing.routes[sample.route];
  const VersionGroup& group = routing.pools[sample.pool].groups[sample.group];
  assert(sample.target < group.targets.size());

  // Find the cell by its indices while the routing stays the same.
  if (indexed_ != sample.routing) {
    indexed_ = sample.routing;
    cells_by_index_.assign(routing.routes.size(), {});
  }
  auto& groups = cells_by_index_[sample.route];
  if (groups.size() <= sample.group) groups.resize(sample.group + 1);
  auto& targets = groups[sample.group];
  if (targets.empty()) targets.resize(group.targets.size());
  EvidenceCell*& cell = targets[sample.target];
  if (cell != nullptr) return *cell;

  const TargetId& target = group.targets[sample.target].info.id;
  Key key(rule.rule->name, group.version, target);
  cell =
      &own_.try_emplace(std::move(key), EvidenceCell{.route = rule.rule->name,
                                                     .version = group.version,
                                                     .target = target})
           .first->second;
  return *cell;
}

void EvidenceCollector::AddCell(Table& table, const EvidenceCell& cell) {
  const auto [sum, added] =
      table.try_emplace(Key(cell.route, cell.version, cell.target), cell);
  if (!added) AddCounts(sum->second, cell);
}

std::vector<EvidenceCell> EvidenceCollector::CellsOf(const Table& table) {
  std::vector<EvidenceCell> cells;
  cells.reserve(table.size());
  for (const auto& [key, cell] : table) cells.push_back(cell);
  return cells;
}

}  // namespace camphor

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
  EvidenceCell& cell = LocalCell(sample);
  switch (sample.outcome) {
    case RequestOutcome::kSuccess:
      ++cell.requests;
      ++cell.latency[LatencyBucketIndex(sample.latency)];
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
  const ReportPosition position{.incarnation = report.incarnation,
                                .period = report.period};
  const auto [last, inserted] =
      last_report_.try_emplace(report.reporter, position);
  if (!inserted) {
    if (position <= last->second) return false;
    last->second = position;
  }
  for (const EvidenceCell& cell : report.cells) AddCell(total_, cell);
  hosts_ += report.hosts;
  return true;
}

std::vector<EvidenceCell> EvidenceCollector::TakeLocalCells() {
  std::vector<EvidenceCell> cells = ToVector(local_);
  local_.clear();
  cached_routing_ = nullptr;
  for (const EvidenceCell& cell : cells) AddCell(total_, cell);
  if (!cells.empty()) ++hosts_;
  return cells;
}

std::vector<EvidenceCell> EvidenceCollector::TakeTotalCells(
    std::uint32_t& hosts) {
  TakeLocalCells();
  std::vector<EvidenceCell> cells = ToVector(total_);
  total_.clear();
  hosts = std::exchange(hosts_, 0);
  return cells;
}

void EvidenceCollector::Clear() {
  local_.clear();
  total_.clear();
  hosts_ = 0;
  cached_routing_ = nullptr;
}

EvidenceCell& EvidenceCollector::LocalCell(const RequestSample& sample) {
  const EffectiveRouting& routing = *sample.routing;
  assert(sample.route < routing.routes.size());
  const RoutedRule& rule = routing.routes[sample.route];
  const VersionGroup& group = routing.pools[sample.pool].groups[sample.group];
  assert(sample.target < group.targets.size());

  // Look up the cell by index while the routing is unchanged.
  if (cached_routing_ != sample.routing) {
    cached_routing_ = sample.routing;
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
      &local_
           .try_emplace(std::move(key), EvidenceCell{.route = rule.rule->name,
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

std::vector<EvidenceCell> EvidenceCollector::ToVector(const Table& table) {
  std::vector<EvidenceCell> cells;
  cells.reserve(table.size());
  for (const auto& [key, cell] : table) cells.push_back(cell);
  return cells;
}

}  // namespace camphor

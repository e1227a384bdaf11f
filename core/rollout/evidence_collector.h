#ifndef CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_H_
#define CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "core/rollout/evidence_report.h"
#include "core/routing/request_sample.h"

namespace camphor {

/// Aggregates the evidence of one rollout on one host: the samples of this host
/// and the reports of the hosts that report to it.
///
/// Duplicate reports are counted once. Not thread-safe.
class EvidenceCollector {
 public:
  /// Counts one request of this host. @pre the sample's indices are valid.
  void AddSample(const RequestSample& sample);

  /// Adds the report of another host. Returns false, and counts nothing, if
  /// this period or a later one of the reporter has already been counted.
  bool AddReport(const EvidenceReport& report);

  /// Returns the sorted cells of this host's samples since the last call. The
  /// cells remain included in the result of TakeTotalCells().
  std::vector<EvidenceCell> TakeLocalCells();

  /// Returns the sorted sum of all cells, local and reported, since the last
  /// call. Sets `hosts` to the number of hosts that contributed.
  std::vector<EvidenceCell> TakeTotalCells(std::uint32_t& hosts);

  /// Discards all evidence that has not been taken yet.
  void Clear();

 private:
  using Key = std::tuple<RouteName, TargetVersion, TargetId>;
  using Table = std::map<Key, EvidenceCell>;
  struct ReportPosition {
    std::uint64_t incarnation = 0;
    std::uint64_t period = 0;

    auto operator<=>(const ReportPosition&) const = default;
  };

  EvidenceCell& LocalCell(const RequestSample& sample);
  static void AddCell(Table& table, const EvidenceCell& cell);
  static std::vector<EvidenceCell> ToVector(const Table& table);

  Table local_;
  Table total_;
  std::uint32_t hosts_ = 0;
  std::map<HostId, ReportPosition> last_report_;
  // Caches the cells of the most recently sampled routing by index, which saves
  // a map look-up for each request.
  EffectiveRoutingPtr cached_routing_;
  std::vector<std::vector<std::vector<EvidenceCell*>>> cells_by_index_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_H_

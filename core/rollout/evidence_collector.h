#ifndef CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_H_
#define CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "core/rollout/evidence_report.h"
#include "core/routing/request_sample.h"

namespace camphor {

/// Sums one rollout's evidence: this host's own samples and the reports of the
/// hosts that report to it.
///
/// A report that comes twice is counted once. Not thread safe.
class EvidenceCollector {
 public:
  /// Counts one request of this host. @pre the sample's indices are valid.
  void AddSample(const RequestSample& sample);

  /// Adds another host's report. Returns false, and counts nothing, when this
  /// or a later period of that reporter was counted already.
  bool AddReport(const EvidenceReport& report);

  /// Takes the cells of this host's own samples since the last call, sorted;
  /// they stay part of what TakeSummed gives.
  std::vector<EvidenceCell> TakeOwn();

  /// Takes the sum of all cells since the last call, sorted. `hosts` is set to
  /// the number of hosts inside.
  std::vector<EvidenceCell> TakeSummed(std::uint32_t& hosts);

  /// Throws away what was gathered and not taken yet.
  void Clear();

 private:
  using Key = std::tuple<RouteName, TargetVersion, TargetId>;
  using Table = std::map<Key, EvidenceCell>;
  struct Position {
    std::uint64_t incarnation = 0;
    std::uint64_t period = 0;

    auto operator<=>(const Position&) const = default;
  };

  EvidenceCell& OwnCell(const RequestSample& sample);
  static void AddCell(Table& table, const EvidenceCell& cell);
  static std::vector<EvidenceCell> CellsOf(const Table& table);

  Table own_;
  Table summed_;
  std::uint32_t hosts_ = 0;
  std::map<HostId, Position> counted_;
  // Cells of the routing that was sampled last, found without a look-up.
  EffectiveRoutingPtr indexed_;
  std::vector<std::vector<std::vector<EvidenceCell*>>> cells_by_index_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_H_

#ifndef CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_HISTORY_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/membership/target_departure.h"

namespace camphor {

/// Latest departure of each target that has left a host, in the order in
/// which they became known. Keeps a bounded number and drops the oldest. Must
/// be used from one thread.
class DepartureHistory {
 public:
  /// Records a departure. Returns false if nothing was learned: the start time
  /// is unknown, or the target has left before in that run or a later one. Must
  /// be called from one thread.
  bool Add(const TargetDeparture& departure);

  /// Returns true if the run of the target that started at the given time has
  /// left. Must be called from one thread.
  bool Includes(const TargetId& id, std::uint64_t started_ms) const;

  const std::vector<TargetDeparture>& departures() const { return departures_; }

  /// Number of departures recorded so far, also of those dropped.
  std::uint64_t recorded() const { return recorded_; }

 private:
  static constexpr std::size_t kMaxDepartures = 128;

  std::vector<TargetDeparture> departures_;
  std::uint64_t recorded_ = 0;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_HISTORY_H_

#include "core/membership/departure_history.h"

#include <algorithm>

namespace camphor {

bool DepartureHistory::Add(const TargetDeparture& departure) {
  if (departure.started_ms == 0) return false;
  if (Includes(departure.id, departure.started_ms)) return false;
  std::erase_if(departures_, [&departure](const TargetDeparture& known) {
    return known.id == departure.id;
  });
  departures_.push_back(departure);
  ++recorded_;
  if (departures_.size() > kMaxDepartures)
    departures_.erase(departures_.begin());
  return true;
}

bool DepartureHistory::Includes(const TargetId& id,
                                std::uint64_t started_ms) const {
  const auto found = std::ranges::find(departures_, id, &TargetDeparture::id);
  return started_ms > 0 && found != departures_.end() &&
         started_ms <= found->started_ms;
}

}  // namespace camphor

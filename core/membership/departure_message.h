#ifndef CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_MESSAGE_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "core/base/identifier.h"
#include "core/membership/target_departure.h"

namespace camphor {

/// Asks the receiver to hold the departures of the sender's targets, and to
/// return those that it holds already. Immutable value type.
struct DepartureNotice {
  HostId host;                    ///< sender
  std::uint64_t incarnation = 0;  ///< of the sender
  std::uint64_t sequence = 0;     ///< increases with each change of the list
  std::vector<TargetDeparture> departures{};  ///< all that the sender knows

  auto operator<=>(const DepartureNotice&) const = default;
};

/// Reply to a DepartureNotice: the sender holds its departures from now on.
/// Immutable value type.
struct DepartureReceipt {
  std::uint64_t incarnation = 0;              ///< of the notice
  std::uint64_t sequence = 0;                 ///< of the notice
  std::vector<TargetDeparture> departures{};  ///< those that the notice lacked

  auto operator<=>(const DepartureReceipt&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_DEPARTURE_MESSAGE_H_

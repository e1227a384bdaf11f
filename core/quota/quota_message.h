#ifndef CAMPHORHILL_CORE_QUOTA_QUOTA_MESSAGE_H_
#define CAMPHORHILL_CORE_QUOTA_QUOTA_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "core/base/identifier.h"

namespace camphor {

/// Names a team in quota messages: 4 bytes instead of its name. Two teams whose
/// names hash alike share the reports and grants of the one that sorts first.
using TeamHash = std::uint32_t;

/// Returns the hash of a team's name; the same on all hosts. Thread-safe.
TeamHash HashTeam(const TeamName& team);

/// One team's use on one host. Immutable value type.
struct TeamUsage {
  TeamHash team = 0;               ///< HashTeam() of its name
  std::uint32_t demand = 0;        ///< requests in the period
  std::uint16_t period_ms = 0;     ///< time that `demand` was counted for
  float share = 0;                 ///< requests per second that the host admits
                                   ///< without a lease
  std::uint64_t admitted = 0;      ///< admitted since the process started
  std::uint64_t acknowledged = 0;  ///< value of `admitted` that the receiver
                                   ///< has confirmed by a reply

  auto operator<=>(const TeamUsage&) const = default;
};

/// Reports the use of teams on a host to their allocator. `admitted` counts up,
/// so that a lost report loses no request. Immutable value type.
struct QuotaReport {
  std::uint64_t incarnation = 0;   ///< of the reporting process
  std::uint32_t sequence = 0;      ///< increases with each report
  std::vector<TeamUsage> teams{};  ///< teams with something to report

  auto operator<=>(const QuotaReport&) const = default;
};

/// What one host may admit of one team. Immutable value type.
struct TeamGrant {
  TeamHash team = 0;     ///< HashTeam() of its name
  bool limited = false;  ///< the team is near its limit: `rate` applies
  float rate = 0;    ///< requests per second; while the team is not limited,
                     ///< the rate that applies once the lease has expired
  float credit = 0;  ///< not limited: requests admitted at once; limited:
                     ///< additional rate, requests per second, until the lease
                     ///< expires

  auto operator<=>(const TeamGrant&) const = default;
};

/// Grants of the allocator for one host: the reply to a report, or a
/// notification that a team starts or stops being limited. Immutable value
/// type.
struct QuotaGrants {
  std::uint32_t sequence = 0;      ///< of the report answered; 0: notification
  std::uint32_t lease_ms = 0;      ///< how long the grants are valid
  std::vector<TeamGrant> teams{};  ///< one for each team

  auto operator<=>(const QuotaGrants&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_QUOTA_QUOTA_MESSAGE_H_

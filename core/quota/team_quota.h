#ifndef CAMPHORHILL_CORE_QUOTA_TEAM_QUOTA_H_
#define CAMPHORHILL_CORE_QUOTA_TEAM_QUOTA_H_

#include <compare>

#include "core/base/time.h"

namespace camphor {

/// Window in which a quota must hold, summed over all hosts.
inline constexpr Seconds kQuotaWindow{5};

/// Time between two reports of a host, and the shortest such time when the use
/// of a team rises suddenly. The reaction to a rise takes about one period.
inline constexpr Milliseconds kQuotaReportPeriod{500};
inline constexpr Milliseconds kQuotaUrgentPeriod{100};

/// Validity of the grants in a reply: two lost messages in a row are tolerated.
inline constexpr Milliseconds kQuotaLease{1500};

/// Validity of a notification to a host that reports nothing.
inline constexpr Milliseconds kQuotaNoticeLease{5000};

/// Quota of one team over all hosts. Immutable value type.
struct TeamQuota {
  double rate = 0;   ///< requests per second; always above 0
  double burst = 0;  ///< requests beyond the rate at once

  /// Requests of any window that are within the quota, summed over all hosts.
  double WindowRequests() const {
    return rate * static_cast<double>(kQuotaWindow.count()) + burst;
  }

  /// Largest steady demand, in requests per second, of which all windows are
  /// within the quota.
  double SteadyRate() const {
    return WindowRequests() / static_cast<double>(kQuotaWindow.count());
  }

  /// Requests beyond WindowRequests() that a window may contain: a tenth of
  /// them, and 20.
  double Overage() const { return 0.1 * WindowRequests() + 20; }

  /// Most requests that may run in any window, summed over all hosts.
  double WindowLimit() const { return WindowRequests() + Overage(); }

  /// Requests that a host which knows nothing of the team's use admits before
  /// its allocator has replied.
  double FirstCredit() const { return 2 + 0.25 * (burst + Overage()); }

  auto operator<=>(const TeamQuota&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_QUOTA_TEAM_QUOTA_H_

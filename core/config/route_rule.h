#ifndef CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_
#define CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_

#include <compare>
#include <string>
#include <vector>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// One row of the table of routes: which requests it takes and which pool they
/// go to. Immutable value type.
///
/// Of the rules that match a request, the one with the longest path prefix
/// wins; a rule that names a host or a method goes before one that does not.
struct RouteRule {
  RouteName name;    ///< unique within the table
  std::string host;  ///< Host header that it takes; empty takes any
  std::string path_prefix = "/";     ///< beginning of the path that it takes
  std::vector<std::string> methods;  ///< methods that it takes; empty takes any
  PoolName pool;  ///< pool that serves it; must stand in the table of pools
  Milliseconds timeout{2000};  ///< longest time from arrival to the last byte,
                               ///< unless the caller sets less
  bool repeatable =
      false;  ///< true when a request may be run again after an unknown outcome
  bool at_most_once = false;  ///< true when a request needs an idempotency key
                              ///< and is claimed before it is run

  auto operator<=>(const RouteRule&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_

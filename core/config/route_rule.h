#ifndef CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_
#define CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// One part of a route's requests and the pool that serves it. Immutable value
/// type.
struct PoolShare {
  PoolName pool;             ///< must stand in the table of pools
  std::uint32_t weight = 0;  ///< its part, in proportion to the other weights

  auto operator<=>(const PoolShare&) const = default;
};

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
  std::vector<PoolShare>
      split{};                 ///< not empty: the requests are divided among
                               ///< these pools, of which `pool` is the first
  Milliseconds timeout{2000};  ///< longest time from arrival to the last byte,
                               ///< unless the caller sets less
  bool repeatable =
      false;  ///< true when a request may be run again after an unknown outcome
  bool at_most_once = false;   ///< true when a request needs an idempotency key
                               ///< and is claimed before it is run
  std::uint32_t attempts = 0;  ///< targets that one request is sent to at most;
                               ///< 0 leaves it to the proxy
  Milliseconds target_latency{0};  ///< an answer within it has its full value;
                                   ///< 0: no such objective
  std::uint32_t priority = 0;      ///< rank under overload, 0 is the highest

  auto operator<=>(const RouteRule&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_

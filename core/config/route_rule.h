#ifndef CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_
#define CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/identifier.h"
#include "core/base/time.h"

namespace camphor {

/// Weight of one pool in the traffic split of a route. Immutable value type.
struct PoolShare {
  PoolName pool;             ///< must be defined in the pools table
  std::uint32_t weight = 0;  ///< relative to the weights of the other pools

  auto operator<=>(const PoolShare&) const = default;
};

/// One row of the routes table: which requests it matches and which pool serves
/// them. Immutable value type.
///
/// If several rules match a request, the one with the longest path prefix wins;
/// a rule with a host or a method takes precedence over one without.
struct RouteRule {
  RouteName name;                    ///< unique within the table
  std::string host;                  ///< Host header to match; empty: any
  std::string path_prefix = "/";     ///< path prefix to match
  std::vector<std::string> methods;  ///< methods to match; empty: any
  PoolName pool;  ///< pool that serves the requests; must be defined in the
                  ///< pools table
  std::vector<PoolShare>
      split{};                 ///< if not empty, requests are split among
                               ///< these pools, the first of which is `pool`
  Milliseconds timeout{2000};  ///< maximum time from the arrival of the request
                               ///< to the last byte of the response; the caller
                               ///< may set a shorter one
  bool repeatable = false;     ///< whether a request may be retried after an
                               ///< unknown outcome
  bool at_most_once = false;  ///< whether a request requires an idempotency key
                              ///< and is claimed before it is run
  std::uint32_t attempts = 0;  ///< maximum number of targets that one request
                               ///< is sent to; 0: chosen by the proxy
  Milliseconds target_latency{0};  ///< latency objective: responses within it
                                   ///< have their full value; 0: none
  std::uint32_t priority = 0;      ///< priority under overload; 0 is highest
  bool is_public = false;  ///< whether requests need no API key of a team
  std::optional<double>
      hedge_share{};  ///< hedges per request, 0 to 1 in steps of a millionth;
                      ///< 0: never; not set: the setting proxy.hedge_share
  std::string unknown_fields{};  ///< fields of a later version, as the JSON
                                 ///< text of an object; passed on to other
                                 ///< hosts but without effect; empty: none

  auto operator<=>(const RouteRule&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_ROUTE_RULE_H_

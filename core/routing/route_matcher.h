#ifndef CAMPHORHILL_CORE_ROUTING_ROUTE_MATCHER_H_
#define CAMPHORHILL_CORE_ROUTING_ROUTE_MATCHER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/routing/effective_routing.h"

namespace camphor {

/// What of a request decides its route. Holds views: use it at once.
struct RouteQuery {
  std::string_view host{};    ///< Host header, with or without a port
  std::string_view method{};  ///< "GET" and so on
  std::string_view path{};    ///< path without the query
};

/// Finds the first route that takes a request; returns its index into
/// routing.routes. @pre routing.routes is in match order. Allocates nothing.
/// Thread safety: any thread.
std::optional<std::uint32_t> MatchRoute(const EffectiveRouting& routing,
                                        const RouteQuery& query);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_ROUTE_MATCHER_H_

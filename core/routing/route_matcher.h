#ifndef CAMPHORHILL_CORE_ROUTING_ROUTE_MATCHER_H_
#define CAMPHORHILL_CORE_ROUTING_ROUTE_MATCHER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/routing/effective_routing.h"

namespace camphor {

/// Request properties that determine the route. Does not own the strings.
struct RouteQuery {
  std::string_view host{};    ///< Host header, with or without a port
  std::string_view method{};  ///< for example "GET"
  std::string_view path{};    ///< path without the query string
};

/// Returns the index into routing.routes of the first route that matches the
/// request; std::nullopt if none does. Does not allocate. Thread-safe.
/// @pre routing.routes is in match order.
std::optional<std::uint32_t> MatchRoute(const EffectiveRouting& routing,
                                        const RouteQuery& query);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_ROUTING_ROUTE_MATCHER_H_

#ifndef CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_
#define CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_

#include <boost/json/fwd.hpp>

#include "core/base/json_fields.h"
#include "core/config/pool_spec.h"
#include "core/config/route_rule.h"

namespace camphor {

/// Reads one row of the routes table. Invalid fields are added to the errors of
/// `fields`, which must not be used by other threads meanwhile.
RouteRule ReadRoute(JsonFields& fields);

/// Reads one row of the pools table. Invalid fields are added to the errors of
/// `fields`, which must not be used by other threads meanwhile.
PoolSpec ReadPool(JsonFields& fields);

/// Writes a route in the canonical form of the format that ReadRoute() reads.
/// Thread-safe.
boost::json::object WriteRoute(const RouteRule& rule);

/// Writes a pool in the canonical form of the format that ReadPool() reads.
/// Thread-safe.
boost::json::object WritePool(const PoolSpec& pool);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_

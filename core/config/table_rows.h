#ifndef CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_
#define CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_

#include <boost/json/fwd.hpp>

#include "core/base/json_fields.h"
#include "core/config/pool_spec.h"
#include "core/config/route_rule.h"

namespace camphor {

/// Reads one row of the table of routes; faults go to the reader's errors.
/// Thread safety: one thread per reader.
RouteRule ReadRoute(JsonFields& fields);

/// Reads one row of the table of pools; faults go to the reader's errors.
/// Thread safety: one thread per reader.
PoolSpec ReadPool(JsonFields& fields);

/// Writes what ReadRoute reads, in a canonical form. Thread safety: any thread.
boost::json::object WriteRoute(const RouteRule& rule);

/// Writes what ReadPool reads, in a canonical form. Thread safety: any thread.
boost::json::object WritePool(const PoolSpec& pool);

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_

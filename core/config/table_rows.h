#ifndef CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_
#define CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_

#include <boost/json/array.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/json_fields.h"
#include "core/config/pool_spec.h"
#include "core/config/route_rule.h"

namespace camphor {

/// Handling of fields of a row that this version does not know.
enum class UnknownFields : std::uint8_t {
  kReport,  ///< as errors: an operator may have misspelled them
  kKeep     ///< as part of the row: another host has checked them
};

/// Reads one row of the routes table. Invalid fields are added to the errors of
/// `fields`, which must not be used by other threads meanwhile.
RouteRule ReadRoute(JsonFields& fields,
                    UnknownFields unknown = UnknownFields::kReport);

/// Reads one row of the pools table. Invalid fields are added to the errors of
/// `fields`, which must not be used by other threads meanwhile.
PoolSpec ReadPool(JsonFields& fields);

/// Writes a route in the canonical form of the format that ReadRoute() reads.
/// Kept unknown fields come last and in the order in which they were read.
/// Every later version therefore has to write new fields after all others, so
/// that a version without them gets the same digest, and numbers with at most
/// 15 digits, which the parser reads exactly. Thread-safe.
boost::json::object WriteRoute(const RouteRule& rule);

/// Writes a pool in the canonical form of the format that ReadPool() reads.
/// Thread-safe.
boost::json::object WritePool(const PoolSpec& pool);

/// Writes identifiers as a list of strings. Thread-safe.
template <typename Name>
boost::json::array WriteNames(const std::vector<Name>& names) {
  boost::json::array out;
  for (const Name& name : names) out.emplace_back(name.value());
  return out;
}

/// Converts strings to identifiers. Thread-safe.
template <typename Name>
std::vector<Name> ReadNames(const std::vector<std::string>& names) {
  return {names.begin(), names.end()};
}

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_TABLE_ROWS_H_

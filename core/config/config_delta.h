#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_DELTA_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_DELTA_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_error.h"
#include "core/config/config_snapshot.h"

namespace camphor {

/// What turns one snapshot into another. Immutable value type.
///
/// A result counts only if it has the digest of `head`: a delta that meets
/// another base, or was damaged, gives nothing.
struct ConfigDelta {
  ConfigHead base{};                        ///< snapshot that it starts from
  ConfigHead head{};                        ///< snapshot that it gives
  std::vector<RouteName> removed_routes{};  ///< sorted
  std::vector<PoolName> removed_pools{};    ///< sorted
  std::vector<RouteRule> routes{};          ///< new or changed, sorted by name
  CallerLimits limits{};                    ///< limits of the result
  std::vector<PoolSpec> pools{};            ///< new or changed, sorted by name

  /// The delta from one snapshot to another. Thread safety: any thread.
  static ConfigDelta Between(const ConfigSnapshot& from,
                             const ConfigSnapshot& to);

  /// Applies it. Returns nothing and sets `reason` when the base is another one
  /// or the result is not valid or has another digest. Thread safety: any
  /// thread.
  std::optional<ConfigSnapshot> Apply(const ConfigSnapshot& from,
                                      ConfigError& reason) const;

  /// The rows as JSON text, without the two heads. Thread safety: any thread.
  std::string Encode() const;

  /// Reads what Encode wrote. Returns nothing and sets `reason` on a fault.
  /// Thread safety: any thread.
  static std::optional<ConfigDelta> Decode(std::string_view text,
                                           const ConfigHead& base,
                                           const ConfigHead& head,
                                           ConfigError& reason);

  auto operator<=>(const ConfigDelta&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_DELTA_H_

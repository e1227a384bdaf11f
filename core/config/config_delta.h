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

/// Changes between two snapshots. Immutable value type.
///
/// The result of applying a delta must have the digest of `head`, so a delta
/// that is damaged or applied to a different base is rejected.
struct ConfigDelta {
  ConfigHead base{};                        ///< snapshot that it applies to
  ConfigHead head{};                        ///< snapshot that results
  std::vector<RouteName> removed_routes{};  ///< sorted
  std::vector<PoolName> removed_pools{};    ///< sorted
  std::vector<RouteRule> routes{};          ///< new or changed, sorted by name
  CallerLimits limits{};                    ///< limits of the result
  std::vector<PoolSpec> pools{};            ///< new or changed, sorted by name
  std::vector<TeamName> removed_teams{};    ///< sorted
  std::vector<TeamSpec> teams{};            ///< new or changed, sorted by name
  std::vector<FailureDomain> evacuated_domains{};  ///< of the result, sorted

  /// Returns the delta that turns `from` into `to`. Thread-safe.
  static ConfigDelta Between(const ConfigSnapshot& from,
                             const ConfigSnapshot& to);

  /// Returns the result of applying the delta to `from`. Returns std::nullopt
  /// and sets `reason` if `from` is not the base, or if the result is invalid
  /// or does not have the digest of `head`. Thread-safe.
  std::optional<ConfigSnapshot> Apply(const ConfigSnapshot& from,
                                      ConfigError& reason) const;

  /// Returns the changes as JSON text, without `base` and `head`. Thread-safe.
  std::string Encode() const;

  /// Parses the output of Encode(), also of a later version whose routes have
  /// fields that are unknown here (see ConfigCodec::DecodeVerified). Returns
  /// std::nullopt and sets `reason` if the text is invalid. Thread-safe.
  static std::optional<ConfigDelta> Decode(std::string_view text,
                                           const ConfigHead& base,
                                           const ConfigHead& head,
                                           ConfigError& reason);

  auto operator<=>(const ConfigDelta&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_DELTA_H_

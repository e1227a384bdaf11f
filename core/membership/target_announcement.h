#ifndef CAMPHORHILL_CORE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_
#define CAMPHORHILL_CORE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/base/endpoint.h"
#include "core/base/identifier.h"
#include "core/base/json_fields.h"

namespace camphor {

/// Announcement of a target to its host. Immutable value type.
struct TargetAnnouncement {
  TargetId id;                   ///< unique across hosts
  PoolName pool;                 ///< pool that it belongs to
  TargetVersion version;         ///< version that it runs
  Endpoint address{};            ///< address on this host for its requests
  std::uint32_t slots = 10;      ///< maximum number of concurrent requests
  bool warm = true;              ///< false while in its cold start
  bool leaving = false;          ///< true if it accepts no new requests
  std::uint64_t started_ms = 0;  ///< Unix time of its start, which reveals a
                                 ///< restart with the same id; 0 if unknown
  std::uint64_t sequence = 0;    ///< increases with each report since that
                                 ///< start; 0 if unknown

  /// Parses the body of an announcement. Returns nullopt and adds to `errors`
  /// if it is invalid. Thread-safe.
  static std::optional<TargetAnnouncement> Parse(
      std::string_view text, std::vector<FieldError>& errors);

  /// Parses the body of a periodic report of the target `id`. Unknown fields
  /// are ignored. Returns nullopt and adds to `errors` if a field is missing or
  /// invalid. Thread-safe.
  static std::optional<TargetAnnouncement> ParseReport(
      TargetId id, std::string_view text, std::vector<FieldError>& errors);

  auto operator<=>(const TargetAnnouncement&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_

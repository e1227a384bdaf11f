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

/// What a target says of itself when it announces itself. Immutable value type.
struct TargetAnnouncement {
  TargetId id;                   ///< unique across hosts
  PoolName pool;                 ///< pool that it belongs to
  TargetVersion version;         ///< version that it runs
  Endpoint address{};            ///< where it takes requests, on this host
  std::uint32_t slots = 10;      ///< requests that it runs at a time
  bool warm = true;              ///< false while in its cold start
  bool leaving = false;          ///< true when it wants no new requests
  std::uint64_t started_ms = 0;  ///< Unix time of its start: tells a return
                                 ///< under the same id; 0: not told
  std::uint64_t sequence = 0;    ///< rises with each word since that start; 0:
                                 ///< not told

  /// Reads the body of an announcement. Returns nothing, with `errors` set,
  /// when it is wrong. Thread safety: any thread.
  static std::optional<TargetAnnouncement> Parse(
      std::string_view text, std::vector<FieldError>& errors);

  /// Reads the body of a periodic report of the target `id`. Fields that are
  /// not known are passed over. Returns nothing, with `errors` set, when a
  /// field is missing or wrong. Thread safety: any thread.
  static std::optional<TargetAnnouncement> ParseReport(
      TargetId id, std::string_view text, std::vector<FieldError>& errors);

  auto operator<=>(const TargetAnnouncement&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_

#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_HEAD_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_HEAD_H_

#include <compare>
#include <cstdint>

#include "core/base/digest.h"

namespace camphor {

/// Version number of a configuration, incremented by each accepted edit. 0
/// means that there is no configuration.
using ConfigVersion = std::uint64_t;

/// Identifies the newest accepted configuration. Immutable value type, ordered
/// by version.
///
/// Heads are created only by the platform transaction that accepts an edit, so
/// two heads with the same version are equal.
struct ConfigHead {
  ConfigVersion version = 0;  ///< 0 if no edit has been accepted yet
  Digest digest{};            ///< digest of the encoded snapshot

  auto operator<=>(const ConfigHead&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_HEAD_H_

#ifndef CAMPHORHILL_CORE_CONFIG_CONFIG_HEAD_H_
#define CAMPHORHILL_CORE_CONFIG_CONFIG_HEAD_H_

#include <compare>
#include <cstdint>

#include "core/base/digest.h"

namespace camphor {

/// Number of an accepted configuration. 0 means none; each accepted edit adds
/// one.
using ConfigVersion = std::uint64_t;

/// Names the newest accepted configuration. Immutable value type; its order is
/// that of its version.
///
/// The accepting transaction of the platform alone creates one, so that two
/// heads of one version are equal.
struct ConfigHead {
  ConfigVersion version = 0;  ///< 0 when nothing was accepted yet
  Digest digest{};            ///< digest of the encoded snapshot

  auto operator<=>(const ConfigHead&) const = default;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_CONFIG_HEAD_H_

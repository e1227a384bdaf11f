#ifndef CAMPHORHILL_CORE_CONFIG_KEY_DIGEST_H_
#define CAMPHORHILL_CORE_CONFIG_KEY_DIGEST_H_

#include <cstddef>
#include <string>

#include "core/base/digest.h"

namespace camphor {

/// Returns the start of an API key's digest, by which operators identify the
/// key: enough to tell the keys of a fleet apart, too little to compare a
/// guessed key with. Thread-safe.
inline std::string ShownKeyDigest(const Digest& digest) {
  constexpr std::size_t kShownLength = 12;
  return digest.hex().substr(0, kShownLength);
}

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_CONFIG_KEY_DIGEST_H_

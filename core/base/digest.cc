#include "core/base/digest.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>
#include <utility>

namespace camphor {

Digest Digest::Of(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> raw{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         raw.data());
  Digest digest;
  digest.hex_.reserve(2 * raw.size());
  for (const unsigned char byte : raw)
    digest.hex_ += fmt::format("{:02x}", byte);
  return digest;
}

Digest Digest::FromHex(std::string hex) {
  Digest digest;
  digest.hex_ = std::move(hex);
  return digest;
}

}  // namespace camphor

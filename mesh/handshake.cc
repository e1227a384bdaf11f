#include "mesh/handshake.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace camphor {
namespace {

// The role is part of the authenticated text, so that the proof of one side
// cannot be reflected as the proof of the other.
std::string ComputeProof(std::string_view role, std::string_view key,
                         const HandshakeTranscript& transcript) {
  const std::string text =
      fmt::format("camphor-mesh {} {} {} {}{}", kMeshProtocolVersion, role,
                  transcript.client_endpoint, transcript.client_nonce,
                  transcript.server_nonce);
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       out.data(), &size);
  return {reinterpret_cast<const char*>(out.data()), size};
}

}  // namespace

std::string MakeNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    throw std::runtime_error("RAND_bytes failed to generate random bytes");
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::string ServerProof(std::string_view key,
                        const HandshakeTranscript& transcript) {
  return ComputeProof("server", key, transcript);
}

std::string ClientProof(std::string_view key,
                        const HandshakeTranscript& transcript) {
  return ComputeProof("client", key, transcript);
}

bool ProofsEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace camphor

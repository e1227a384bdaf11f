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

// The role stands first, so that one side's proof can not serve as the other's.
std::string Proof(std::string_view role, std::string_view key,
                  const HandshakeTerms& terms) {
  const std::string text = fmt::format(
      "camphor-mesh {} {} {} {}{}", kMeshProtocolVersion, role,
      terms.client_endpoint, terms.client_nonce, terms.server_nonce);
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
    throw std::runtime_error("the system has no random bytes");
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::string ServerProof(std::string_view key, const HandshakeTerms& terms) {
  return Proof("server", key, terms);
}

std::string ClientProof(std::string_view key, const HandshakeTerms& terms) {
  return Proof("client", key, terms);
}

bool ProofsEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace camphor

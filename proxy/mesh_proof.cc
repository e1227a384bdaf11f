#include "proxy/mesh_proof.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <span>
#include <stdexcept>

namespace camphor {
namespace {

constexpr std::size_t kNonceBytes = 16;

std::string Hex(std::span<const unsigned char> bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    fmt::format_to(std::back_inserter(text), "{:02x}", byte);
  }
  return text;
}

std::string Proof(std::string_view key, std::string_view role,
                  std::string_view client, std::string_view server) {
  const std::string message = fmt::format("{}|{}|{}", role, client, server);
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       mac.data(), &size);
  return Hex(std::span(mac).first(size));
}

}  // namespace

std::string MeshProof::MakeNonce() {
  std::array<unsigned char, kNonceBytes> nonce{};
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    throw std::runtime_error("RAND_bytes failed");
  }
  return Hex(nonce);
}

std::string MeshProof::ServerProof(std::string_view key,
                                   std::string_view client,
                                   std::string_view server) {
  return Proof(key, "server", client, server);
}

std::string MeshProof::ClientProof(std::string_view key,
                                   std::string_view client,
                                   std::string_view server) {
  return Proof(key, "client", client, server);
}

bool MeshProof::Equal(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace camphor

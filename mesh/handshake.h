#ifndef CAMPHORHILL_MESH_HANDSHAKE_H_
#define CAMPHORHILL_MESH_HANDSHAKE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace camphor {

/// Version of the protocol between hosts; both sides must have the same.
inline constexpr std::uint32_t kMeshProtocolVersion = 1;

/// Bytes of a nonce.
inline constexpr std::size_t kNonceBytes = 16;

/// What both sides of a connection know once the nonces are exchanged.
/// Immutable value type.
struct HandshakeTerms {
  std::string client_endpoint;  ///< mesh endpoint that the client names itself
  std::string client_nonce;     ///< fresh bytes of the client
  std::string server_nonce;     ///< fresh bytes of the server
};

/// Fresh random bytes. Thread safety: any thread.
std::string MakeNonce();

/// Proof that the server knows the key. Thread safety: any thread.
std::string ServerProof(std::string_view key, const HandshakeTerms& terms);

/// Proof that the client knows the key. Thread safety: any thread.
std::string ClientProof(std::string_view key, const HandshakeTerms& terms);

/// Compares in a time that does not depend on the content. Thread safety: any
/// thread.
bool ProofsEqual(std::string_view left, std::string_view right);

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_HANDSHAKE_H_

#ifndef CAMPHORHILL_MESH_HANDSHAKE_H_
#define CAMPHORHILL_MESH_HANDSHAKE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace camphor {

/// Version of the protocol between hosts; both sides must have the same one.
inline constexpr std::uint32_t kMeshProtocolVersion = 1;

/// Size of a nonce.
inline constexpr std::size_t kNonceBytes = 16;

/// Values exchanged in a handshake, over which both sides compute their proofs.
/// Immutable value type.
struct HandshakeTranscript {
  std::string client_endpoint;  ///< mesh endpoint that the client claims
  std::string client_nonce;     ///< random bytes from the client
  std::string server_nonce;     ///< random bytes from the server
};

/// Returns kNonceBytes cryptographically secure random bytes. Throws
/// std::runtime_error if the random generator fails. Thread-safe.
std::string MakeNonce();

/// Returns the proof that the server has the mesh key. Thread-safe.
std::string ServerProof(std::string_view key,
                        const HandshakeTranscript& transcript);

/// Returns the proof that the client has the mesh key. Thread-safe.
std::string ClientProof(std::string_view key,
                        const HandshakeTranscript& transcript);

/// Compares two proofs in a time that does not depend on their content, which
/// prevents timing attacks. Thread-safe.
bool ProofsEqual(std::string_view left, std::string_view right);

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_HANDSHAKE_H_

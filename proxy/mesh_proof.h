#ifndef CAMPHORHILL_PROXY_MESH_PROOF_H_
#define CAMPHORHILL_PROXY_MESH_PROOF_H_

#include <string>
#include <string_view>

namespace camphor {

/// Mutual proof that both ends of a proxy-to-proxy connection hold the mesh
/// key, without sending the key.
///
/// Each end picks a nonce. Each proof is an HMAC-SHA256 over the role and both
/// nonces, which prevents replay and reflection.
class MeshProof {
 public:
  /// Returns a random nonce in hexadecimal. Thread-safe.
  static std::string MakeNonce();

  /// Returns the proof of the accepting end. Thread-safe.
  static std::string ServerProof(std::string_view key, std::string_view client,
                                 std::string_view server);

  /// Returns the proof of the connecting end. Thread-safe.
  static std::string ClientProof(std::string_view key, std::string_view client,
                                 std::string_view server);

  /// Compares two proofs in constant time. Thread-safe.
  static bool Equal(std::string_view left, std::string_view right);
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_MESH_PROOF_H_

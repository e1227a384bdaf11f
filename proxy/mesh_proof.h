#ifndef CAMPHORHILL_PROXY_MESH_PROOF_H_
#define CAMPHORHILL_PROXY_MESH_PROOF_H_

#include <string>
#include <string_view>

namespace camphor {

/// Proofs that both ends of a connection between two hosts' proxies hold the
/// mesh key, which itself never travels.
///
/// Each end picks a nonce; each proof is an HMAC-SHA256 over the role and both
/// nonces, so that neither a replayed nor a reflected proof is taken.
class MeshProof {
 public:
  /// A fresh nonce in hexadecimal. Thread safety: any thread.
  static std::string MakeNonce();

  /// What the accepting end shows. Thread safety: any thread.
  static std::string OfServer(std::string_view key, std::string_view client,
                              std::string_view server);

  /// What the connecting end shows. Thread safety: any thread.
  static std::string OfClient(std::string_view key, std::string_view client,
                              std::string_view server);

  /// Compares two proofs in constant time. Thread safety: any thread.
  static bool Equal(std::string_view left, std::string_view right);
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_MESH_PROOF_H_

#ifndef CAMPHORHILL_MESH_MESH_LIMIT_H_
#define CAMPHORHILL_MESH_MESH_LIMIT_H_

#include <cstdint>
#include <string_view>

namespace camphor {

/// A limit of the mesh listener that took effect.
enum class MeshLimit : std::uint8_t {
  kHandshakeDisplaced,  ///< a connection whose peer had not authenticated was
                        ///< closed in favour of a newer one
  kHandshakeTooLong,    ///< a peer sent or announced more bytes than a
                        ///< handshake needs
  kConnectionsRefused,  ///< a host was refused because too many others are
                        ///< connected
};

/// Returns a sentence for the log. Thread-safe.
constexpr std::string_view MeshLimitText(MeshLimit limit) {
  switch (limit) {
    case MeshLimit::kHandshakeDisplaced:
      return "connection of an unauthenticated peer closed for a newer one";
    case MeshLimit::kHandshakeTooLong:
      return "connection closed: its handshake is too long";
    case MeshLimit::kConnectionsRefused:
      return "host refused: too many are connected";
  }
  return "";
}

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_MESH_LIMIT_H_

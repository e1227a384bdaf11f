#ifndef CAMPHORHILL_MESH_MESSAGE_CODEC_H_
#define CAMPHORHILL_MESH_MESSAGE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/replication/mesh_message.h"

namespace camphor {

/// Encodes one message in Cap'n Proto format. Thread-safe.
std::string EncodeMeshMessage(const MeshMessage& message);

/// Decodes the output of EncodeMeshMessage(). Returns std::nullopt and sets
/// `reason` if the bytes are malformed or a field is out of range. Thread-safe.
std::optional<MeshMessage> DecodeMeshMessage(std::string_view bytes,
                                             std::string& reason);

/// Returns the purpose by which the bytes of the message are counted in the
/// metrics. Thread-safe.
const char* MessagePurpose(const MeshMessage& message);

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_MESSAGE_CODEC_H_

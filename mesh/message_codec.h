#ifndef CAMPHORHILL_MESH_MESSAGE_CODEC_H_
#define CAMPHORHILL_MESH_MESSAGE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/replication/mesh_message.h"

namespace camphor {

/// Encodes one message as Cap'n Proto bytes. Thread safety: any thread.
std::string EncodeMeshMessage(const MeshMessage& message);

/// Decodes what EncodeMeshMessage wrote. Returns nothing and sets `reason` when
/// the bytes are malformed or a field is out of range. Thread safety: any
/// thread.
std::optional<MeshMessage> DecodeMeshMessage(std::string_view bytes,
                                             std::string& reason);

/// Name of the purpose under which the message's bytes are counted. Thread
/// safety: any thread.
const char* PurposeOf(const MeshMessage& message);

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_MESSAGE_CODEC_H_

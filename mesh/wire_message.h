#ifndef CAMPHORHILL_MESH_WIRE_MESSAGE_H_
#define CAMPHORHILL_MESH_WIRE_MESSAGE_H_

#include "core/replication/mesh_message.h"
#include "mesh/mesh.capnp.h"

namespace camphor {

/// Fills a wire message. Used inside mesh only: it needs Cap'n Proto headers.
/// Thread safety: one thread per builder.
void WriteWireMessage(const MeshMessage& message, wire::Message::Builder out);

/// Reads a wire message. Throws kj::Exception when it is malformed or a field
/// is out of range. Thread safety: one thread per reader.
MeshMessage ReadWireMessage(wire::Message::Reader in);

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_WIRE_MESSAGE_H_

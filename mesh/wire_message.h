#ifndef CAMPHORHILL_MESH_WIRE_MESSAGE_H_
#define CAMPHORHILL_MESH_WIRE_MESSAGE_H_

#include "core/replication/mesh_message.h"
#include "mesh/mesh.capnp.h"

namespace camphor {

/// Writes a message to its wire form. Internal to mesh, to keep Cap'n Proto
/// headers out of the other libraries. The builder must not be used by other
/// threads meanwhile.
void WriteWireMessage(const MeshMessage& message, wire::Message::Builder out);

/// Reads a message from its wire form. Throws kj::Exception if it is malformed
/// or a field is out of range. The reader must not be used by other threads
/// meanwhile.
MeshMessage ReadWireMessage(wire::Message::Reader in);

}  // namespace camphor

#endif  // CAMPHORHILL_MESH_WIRE_MESSAGE_H_

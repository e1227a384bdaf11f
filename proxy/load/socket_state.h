#ifndef CAMPHORHILL_PROXY_LOAD_SOCKET_STATE_H_
#define CAMPHORHILL_PROXY_LOAD_SOCKET_STATE_H_

#include <cstdint>
#include <optional>

#include "core/base/time.h"

namespace camphor {

/// Returns true if the peer of a connected socket has closed or reset the
/// connection. Unlike a read, this also detects a close behind unread bytes.
/// Thread-safe.
bool IsClosedByPeer(int socket);

/// Returns the time since the peer last sent data, or since the connection was
/// established if it has sent none. Returns std::nullopt if the operating
/// system does not tell. Thread-safe.
std::optional<Milliseconds> TimeSinceData(int socket);

/// Returns the number of established connections that a listening socket has
/// not accepted yet. Returns std::nullopt if the operating system does not
/// tell. Thread-safe.
std::optional<std::uint32_t> AcceptQueueLength(int listener);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_LOAD_SOCKET_STATE_H_

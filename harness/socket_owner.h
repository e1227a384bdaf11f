#ifndef CAMPHORHILL_HARNESS_SOCKET_OWNER_H_
#define CAMPHORHILL_HARNESS_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstdint>

namespace camphor {

/// True when the process holds a TCP socket (IP version 4) whose own port is
/// the given one. @pre the process was started by this one. Thread safety: any
/// thread.
bool HoldsSocket(pid_t pid, std::uint16_t port);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SOCKET_OWNER_H_

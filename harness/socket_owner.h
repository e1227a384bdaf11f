#ifndef CAMPHORHILL_HARNESS_SOCKET_OWNER_H_
#define CAMPHORHILL_HARNESS_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstdint>
#include <vector>

namespace camphor {

/// Returns the process among `processes` that holds an IPv4 TCP socket with
/// this local port; 0 if none does. @pre The processes are children of this
/// one. Thread-safe.
pid_t FindSocketOwner(const std::vector<pid_t>& processes, std::uint16_t port);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SOCKET_OWNER_H_

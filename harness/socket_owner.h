#ifndef CAMPHORHILL_HARNESS_SOCKET_OWNER_H_
#define CAMPHORHILL_HARNESS_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstdint>
#include <vector>

namespace camphor {

/// The process among the given ones that holds a TCP socket (IP version 4)
/// whose own port is the given one; 0 when none does. @pre the processes were
/// started by this one. Thread safety: any thread.
pid_t FindSocketHolder(const std::vector<pid_t>& processes, std::uint16_t port);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_SOCKET_OWNER_H_

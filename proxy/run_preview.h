#ifndef CAMPHORHILL_PROXY_RUN_PREVIEW_H_
#define CAMPHORHILL_PROXY_RUN_PREVIEW_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "proxy/error_response.h"

namespace camphor {

/// What would happen to a request at a target of this host. Immutable value
/// type.
struct RunPreview {
  std::optional<ProxyError> refusal{};  ///< set: it would be refused
  bool waits = false;                   ///< it would wait for a slot
  std::uint32_t running = 0;            ///< slots in use
  std::size_t waiting = 0;              ///< requests in the queue
  std::uint32_t slots = 0;              ///< limit of `running`; 0: the target
                                        ///< accepts no new work
  std::uint32_t queue = 0;              ///< limit of `waiting`
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_RUN_PREVIEW_H_

#ifndef CAMPHORHILL_PROXY_PROXY_LIMITS_H_
#define CAMPHORHILL_PROXY_PROXY_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// Bounds that keep one proxy within its memory and its callers fair. Immutable
/// value type.
struct ProxyLimits {
  std::uint32_t header_bytes = 16 * 1024;  ///< longest header of a message
  std::size_t buffered_body_bytes =
      16 * 1024;  ///< beginning of a body that is kept so that it can be sent
                  ///< again
  std::uint32_t caller_connections = 4096;   ///< open connections of callers
  std::uint32_t forward_connections = 4096;  ///< open connections of hosts
  std::uint32_t connections_per_host =
      256;                     ///< connections kept to one other host at most
  std::uint32_t attempts = 3;  ///< times that one request is placed at most
  double retry_ratio = 0.1;    ///< retries allowed for each request of a pool
  double retry_burst = 100;    ///< retries of a pool beyond that share that all
                               ///< hosts together may have saved up
  bool retry_budget = true;    ///< false lifts the budget, for comparison only
  Milliseconds header_timeout{5000};        ///< longest time for a whole header
  Milliseconds keep_alive_timeout{60'000};  ///< idle time of a connection
  Milliseconds body_timeout{5000};          ///< longest pause within a body
  Milliseconds connect_timeout{500};        ///< longest time to connect
  Milliseconds retry_after{1000};    ///< told with a refusal that did not run
  Milliseconds first_heartbeat{50};  ///< a host sends an interim answer when
                                     ///< its target has not answered by then
  Milliseconds heartbeat{500};       ///< pause between further interim answers
  Milliseconds silence{1600};  ///< a host silent for longer lost the connection
  Milliseconds last_word{
      100};  ///< a request whose time is up waits so long for what the host of
             ///< its target says became of it
  Milliseconds death_notice{
      250};  ///< an answer that tells of a target's death waits this long, so
             ///< that other hosts know before the request is sent again
  Milliseconds probe_idle{2000};  ///< idle connections are probed this often
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_LIMITS_H_

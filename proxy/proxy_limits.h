#ifndef CAMPHORHILL_PROXY_PROXY_LIMITS_H_
#define CAMPHORHILL_PROXY_PROXY_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "core/base/time.h"

namespace camphor {

/// Resource limits and timeouts of one proxy. Immutable value type.
struct ProxyLimits {
  std::uint32_t header_bytes = 16 * 1024;  ///< maximum header size of a message
  std::size_t buffered_body_bytes =
      16 * 1024;  ///< maximum body prefix buffered for a retry
  std::uint32_t caller_connections = 4096;  ///< maximum open caller connections
  std::uint32_t forward_connections =
      4096;  ///< maximum open connections from other hosts
  std::uint32_t pending_handshakes =
      2048;  ///< maximum open connections of peers that have not authenticated
             ///< as a host; see PendingHandshakes::PlacesBeside
  Milliseconds handshake_timeout{
      15'000};  ///< for authenticating as a host; a host does so with its first
                ///< request, or with a ping after `ping_interval`
  std::uint32_t connections_per_host =
      256;                     ///< maximum connections to one other host
  std::uint32_t attempts = 3;  ///< maximum attempts of one request
  double retry_ratio = 0.1;    ///< retries allowed per request of a pool
  double retry_burst =
      100;  ///< additional burst of retries of a pool, shared by all hosts
  double hedge_share = 0;  ///< hedges allowed per request of a pool; 0: none;
                           ///< see HedgePolicy
  bool load_reports = false;  ///< the speed and load of local targets are sent
                              ///< to the hosts of callers and used to place
  bool retry_budget = true;  ///< false disables the budget, for comparison only
  std::uint32_t pipelined_requests =
      16;  ///< maximum requests of a caller connection that run at a time
  std::uint64_t buffer_bytes =
      30 * 1024 * 1024;  ///< buffers of all connections together: headers, body
                         ///< prefixes, responses and what a session needs
  double link_bits_per_second = 0;  ///< rate of this host's link; 0: unknown
  std::uint32_t header_fields = 0;  ///< maximum header fields of a request; 0:
                                    ///< as many as the header's size allows
  std::size_t buffered_response_bytes =
      256 * 1024;  ///< maximum bytes buffered for a caller connection, of
                   ///< responses that wait for an earlier one
  std::size_t buffered_response_bytes_by_proxy =
      8 * 1024 * 1024;  ///< the same for all caller connections together
  Milliseconds header_timeout{5000};  ///< timeout for reading a complete header
  Milliseconds keep_alive_timeout{60'000};  ///< idle timeout of a connection
  Milliseconds body_timeout{5000};    ///< read and write timeout within a body
  Milliseconds connect_timeout{500};  ///< connect timeout
  Milliseconds retry_after{
      1000};  ///< Retry-After of a refusal of a request that did not run
  Milliseconds first_heartbeat{
      50};  ///< delay before the first interim response when the target has not
            ///< responded
  Milliseconds heartbeat{500};  ///< interval of further interim responses
  Milliseconds silence_timeout{1600};  ///< a connection to a host without data
                                       ///< for this long is considered dead
  Milliseconds deadline_grace{
      100};  ///< time after the deadline to wait for the final status from the
             ///< target's host
  Milliseconds death_propagation_delay{
      250};  ///< delay of an error response after a target's death, so that
             ///< other hosts learn of it before the caller repeats the request
  Milliseconds ping_interval{2000};  ///< ping interval of idle connections
};

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PROXY_LIMITS_H_

#ifndef CAMPHORHILL_PROXY_PLACED_REQUEST_H_
#define CAMPHORHILL_PROXY_PLACED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/base/identifier.h"
#include "core/routing/load_report.h"
#include "core/routing/urgency.h"
#include "proxy/asio_types.h"
#include "proxy/error_response.h"
#include "proxy/exchange.h"
#include "proxy/inbound_body.h"
#include "proxy/request_control.h"

namespace camphor {

/// One attempt of a request on a chosen target.
struct PlacedRequest {
  http::request_header<> header{};    ///< without hop-by-hop headers
  RequestControl* control = nullptr;  ///< deadline and cancellation
  InboundBody* body = nullptr;        ///< request body
  Urgency urgency{};                  ///< priority in the target's queue
  TargetId target;                    ///< target to run on
  std::uint64_t fingerprint = 0;      ///< identifies repetitions of the request
  bool suspect =
      false;  ///< a target died while running a request with this fingerprint
  std::string claim_key{};    ///< non-empty: claimed before the request runs
  std::uint32_t attempt = 1;  ///< attempt number
  Milliseconds abandon_after{
      0};  ///< call `may_abandon` after this time; 0: never
  std::function<bool()>
      may_abandon{};  ///< returns true if this attempt may be aborted
  std::function<asio::awaitable<bool>()>
      before_send{};  ///< called once the target has a free slot; false: the
                      ///< sender disconnected
};

/// Runs one attempt. Await Begin; if it returns no error, relay the exchange's
/// response. Await End in any case before destruction. Must be used from one
/// thread.
class RequestRun {
 public:
  virtual ~RequestRun() = default;

  /// Sends the request. Returns std::nullopt once a response header was
  /// received.
  virtual asio::awaitable<std::optional<ProxyError>> Begin() = 0;

  /// Releases the attempt's resources. `cut` is true when the response was
  /// truncated.
  virtual asio::awaitable<void> End(bool cut) = 0;

  /// Returns the current exchange. @pre Begin returned no error.
  virtual Exchange& exchange() = 0;

  /// Returns the load and speed of the target as measured by its host;
  /// std::nullopt if its host has sent none or the route has no latency
  /// objective. Call after Begin has returned and before End.
  virtual std::optional<LoadReport> load_report() const = 0;
};

/// Maps a failed exchange, of which at least one byte was sent, to an error.
/// Thread-safe.
ProxyError ToProxyError(Exchange::SendResult sent,
                        const RequestControl& control);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PLACED_REQUEST_H_

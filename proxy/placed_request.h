#ifndef CAMPHORHILL_PROXY_PLACED_REQUEST_H_
#define CAMPHORHILL_PROXY_PLACED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/base/identifier.h"
#include "core/routing/urgency.h"
#include "proxy/asio_types.h"
#include "proxy/error_response.h"
#include "proxy/exchange.h"
#include "proxy/inbound_body.h"
#include "proxy/request_control.h"

namespace camphor {

/// One attempt of a request, placed on one target.
struct PlacedRequest {
  http::request_header<> header{};    ///< without hop-by-hop headers
  RequestControl* control = nullptr;  ///< deadline and cancellation
  InboundBody* body = nullptr;        ///< what follows the header
  Urgency urgency{};                  ///< where it waits for a slot
  TargetId target;                    ///< where it runs
  std::uint64_t fingerprint = 0;      ///< tells it when it is sent again
  bool suspect = false;       ///< a target died under this fingerprint before
  std::string claim_key{};    ///< set: to be claimed before it runs
  std::uint32_t attempt = 1;  ///< number of this attempt
  Milliseconds abandon_after{0};        ///< ask `may_abandon` then; 0: never
  std::function<bool()> may_abandon{};  ///< true: give this attempt up
  std::function<asio::awaitable<bool>()>
      before_send{};  ///< runs once the target has room; false: sender is gone
};

/// Runs one attempt. Await Begin; if it gives no error, relay the exchange's
/// answer; then await End in any case before it is destroyed. One thread.
class RequestRun {
 public:
  virtual ~RequestRun() = default;

  /// Sends the request. Returns nothing when the header of an answer is here.
  virtual asio::awaitable<std::optional<ProxyError>> Begin() = 0;

  /// Gives back what the attempt held. `cut` is true when the answer ended too
  /// soon.
  virtual asio::awaitable<void> End(bool cut) = 0;

  /// The exchange under way. @pre Begin gave no error.
  virtual Exchange& exchange() = 0;
};

/// The error of a stopped or failed exchange of which a byte was sent. Thread
/// safety: any thread.
ProxyError ErrorOfSent(Exchange::Sent sent, const RequestControl& control);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PLACED_REQUEST_H_

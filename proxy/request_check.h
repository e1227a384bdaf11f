#ifndef CAMPHORHILL_PROXY_REQUEST_CHECK_H_
#define CAMPHORHILL_PROXY_REQUEST_CHECK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/config/team_table.h"
#include "core/routing/effective_routing.h"
#include "proxy/asio_types.h"
#include "proxy/error_response.h"

namespace camphor {

struct ProxyContext;

/// Result of the checks of a request header, before a target is chosen.
struct RequestCheck {
  std::optional<ProxyError> error{};  ///< set: the request is refused
  std::string fault{};  ///< for kBadRequest: what is wrong with the request
  std::optional<std::uint32_t> route{};    ///< index into routing->routes
  std::shared_ptr<const TeamSpec> team{};  ///< of the caller's key; null: none
  Milliseconds time_limit{0};              ///< of the caller and of the route
  std::optional<Milliseconds>
      retry_after{};  ///< replaces the limit of that name

  /// Returns true if the refusal leaves the connection usable.
  bool MayKeepConnection() const {
    return error != ProxyError::kDraining &&
           (error != ProxyError::kBadRequest || route);
  }
};

/// Inputs of CheckRequest. Holds references that must outlive the call.
struct RequestCheckInputs {
  const http::request_header<>& header;  ///< as received from the caller
  const EffectiveRoutingPtr& routing;    ///< null: there is none yet
  bool accepts_keys = true;  ///< the knowledge of the configuration is recent
                             ///< enough to accept keys of teams
  MonoTime arrival{};        ///< when the header was complete
  const std::function<std::optional<Milliseconds>(const TeamSpec&)>&
      admit;  ///< see ProxyServer::Options::admit; may be null
};

/// Finds the route and the team of a request, validates the headers that they
/// require and counts the request against the quota of its team. Changes
/// nothing but what `admit` changes. Must be used from the proxy thread.
RequestCheck CheckRequest(const ProxyContext& context,
                          const RequestCheckInputs& inputs);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_REQUEST_CHECK_H_

#ifndef CAMPHORHILL_PROXY_PLACEMENT_PREVIEW_H_
#define CAMPHORHILL_PROXY_PLACEMENT_PREVIEW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/quota/quota_limiter.h"
#include "core/routing/effective_routing.h"
#include "core/routing/power_of_two_balancer.h"
#include "proxy/error_response.h"
#include "proxy/run_preview.h"

namespace camphor {

struct ProxyContext;

/// Head of a request whose placement is to be previewed. Immutable value type.
struct PreviewRequest {
  std::string method;  ///< for example "GET"
  std::string host;    ///< value of the Host header
  std::string path;    ///< path, with the query string if there is one
  std::vector<std::pair<std::string, std::string>>
      headers{};  ///< other headers; a name may be repeated

  auto operator<=>(const PreviewRequest&) const = default;
};

/// Where a request would go now, and why. Holds no key of a team, only the
/// start of its digest. Immutable value type.
struct PlacementPreview {
  /// What happens to the API key of the request.
  enum class Key : std::uint8_t {
    kNotChecked,  ///< the request is refused before
    kNotUsed,     ///< no team is configured
    kAccepted,    ///< it belongs to a team
    kMissing,     ///< there is none
    kRepeated,    ///< there is more than one
    kUnknown,     ///< it belongs to no team
  };

  /// What happens to the request on this host.
  enum class Outcome : std::uint8_t {
    kRefused,  ///< the caller gets `error`
    kRuns,     ///< it starts on a target of this host
    kWaits,    ///< it waits for a slot of a target of this host
    kSent,     ///< it is sent to the host of its target, which decides
  };

  /// One attempt. Only the refusal by a target of this host is followed by
  /// another one; what another host does is not known.
  struct Attempt {
    Placement placement{};            ///< chosen target
    std::vector<ChoiceDraw> draws{};  ///< comparisons that led to it
    std::optional<ProxyError> refusal{};
  };

  /// A target of the pool, as of before the first attempt.
  struct Target {
    PowerOfTwoBalancer::Candidate candidate{};
    std::optional<RunPreview> local{};  ///< of a target of this host
  };

  EffectiveRoutingPtr routing{};  ///< null: there is no configuration yet
  MonoTime now{};                 ///< time of the preview
  bool draining = false;          ///< this host is shutting down
  Key key = Key::kNotChecked;
  bool accepts_keys = true;  ///< the configuration is recent enough for keys
  std::string
      key_digest{};  ///< start of the digest of the key, if there is one
  std::shared_ptr<const TeamSpec> team{};  ///< null: none
  std::optional<QuotaLimiter::AdmitPreview>
      quota{};  ///< of the team on this host; std::nullopt: none, or not known
  std::optional<std::uint32_t> route{};  ///< index into routing->routes
  std::optional<std::uint32_t>
      share{};                          ///< index of the chosen pool of a split
  std::optional<std::uint32_t> pool{};  ///< index into routing->pools
  std::vector<Target> targets{};        ///< of the pool, in all its groups
  std::vector<Attempt> attempts{};      ///< in order
  Outcome outcome = Outcome::kRefused;
  std::optional<ProxyError> error{};  ///< set if the request is refused
  std::string fault{};                ///< replaces the error's message if set
  std::optional<Milliseconds> retry_after{};  ///< Retry-After of the refusal
};

/// Determines where the request would go now with the code that places
/// requests, run on copies of its state. Changes nothing. The cost grows with
/// the number of targets. Must be called from the proxy thread.
PlacementPreview PreviewPlacement(const ProxyContext& context,
                                  const PreviewRequest& request, MonoTime now);

}  // namespace camphor

#endif  // CAMPHORHILL_PROXY_PLACEMENT_PREVIEW_H_

#include "proxy/request_check.h"

#include <algorithm>
#include <string_view>

#include "core/routing/route_matcher.h"
#include "proxy/caller_request.h"
#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/proxy_context.h"

namespace camphor {
namespace {

constexpr std::size_t kMaxKeyLength = 255;
/// A host whose knowledge is too old looks for a newer proof about once a
/// second.
constexpr Milliseconds kStaleKeysRetryAfter{1000};

/// Returns true for 1 to 255 visible ASCII characters.
bool IsValidIdempotencyKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::ranges::all_of(
             key, [](char letter) { return letter > ' ' && letter < 127; });
}

/// Returns the team that the request's API key belongs to; null if there is no
/// such team or the key is missing or repeated.
std::shared_ptr<const TeamSpec> FindTeam(const EffectiveRouting& routing,
                                         const http::request_header<>& header,
                                         const HeaderVocabulary& vocabulary) {
  if (!routing.teams || header.count(vocabulary.team_key) != 1) return nullptr;
  return {routing.teams,
          routing.teams->FindByKey(HeaderValue(header, vocabulary.team_key))};
}

}  // namespace

RequestCheck CheckRequest(const ProxyContext& context,
                          const RequestCheckInputs& inputs) {
  const http::request_header<>& header = inputs.header;
  RequestCheck check;
  const auto refuse = [&check](ProxyError error) {
    check.error = error;
    return std::move(check);
  };
  if (auto fault = FindRequestHeaderError(header)) {
    check.fault = std::move(*fault);
    return refuse(ProxyError::kBadRequest);
  }

  // Find the route and validate the headers that it requires.
  if (!inputs.routing) return refuse(ProxyError::kNotReady);
  const EffectiveRouting& routing = *inputs.routing;
  check.route = MatchRoute(routing, MakeRouteQuery(header));
  if (!check.route) return refuse(ProxyError::kNoRoute);
  const RouteRule& rule = *routing.routes[*check.route].rule;
  const HeaderVocabulary& vocabulary = context.options.vocabulary;
  if (routing.teams && !rule.is_public && !inputs.accepts_keys) {
    check.retry_after = kStaleKeysRetryAfter;
    return refuse(ProxyError::kStaleKeys);
  }
  check.team = FindTeam(routing, header, vocabulary);
  if (routing.teams && !check.team && !rule.is_public)
    return refuse(ProxyError::kUnknownKey);
  const std::optional<Milliseconds> limit =
      ReadDeadline(header, vocabulary.deadline, rule.timeout);
  const std::string_view key = HeaderValue(header, kIdempotencyKeyHeader);
  if (!limit || (!key.empty() && !IsValidIdempotencyKey(key)) ||
      header.count(kIdempotencyKeyHeader) > 1) {
    check.fault =
        limit ? "Idempotency-Key must occur once, with 1 to 255 "
                "visible characters"
              : vocabulary.deadline + " must be a number of milliseconds";
    return refuse(ProxyError::kBadRequest);
  }
  if (rule.at_most_once && key.empty()) return refuse(ProxyError::kKeyMissing);
  check.time_limit = std::min(*limit, rule.timeout);
  if (context.MayOutlastThisProxy(inputs.arrival + check.time_limit))
    return refuse(ProxyError::kDraining);
  // Only requests that nothing else refuses count against the quota.
  if (check.team && !rule.is_public && inputs.admit) {
    check.retry_after = inputs.admit(*check.team);
    if (check.retry_after) return refuse(ProxyError::kOverQuota);
  }
  return check;
}

}  // namespace camphor

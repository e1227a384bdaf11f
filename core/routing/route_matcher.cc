#include "core/routing/route_matcher.h"

#include <algorithm>

namespace camphor {
namespace {

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                        : letter;
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t bracket = host.find(']');
  const std::size_t from = bracket == std::string_view::npos ? 0 : bracket;
  return host.substr(0, host.find(':', from));
}

bool MatchesHost(const RouteRule& rule, std::string_view host) {
  return rule.host.empty() ||
         std::ranges::equal(rule.host, host, {}, ToLower, ToLower);
}

bool MatchesMethod(const RouteRule& rule, std::string_view method) {
  return rule.methods.empty() ||
         std::ranges::find(rule.methods, method) != rule.methods.end();
}

}  // namespace

std::optional<std::uint32_t> MatchRoute(const EffectiveRouting& routing,
                                        const RouteQuery& query) {
  const std::string_view host = WithoutPort(query.host);
  for (std::uint32_t index = 0; index < routing.routes.size(); ++index) {
    const RouteRule& rule = *routing.routes[index].rule;
    if (query.path.starts_with(rule.path_prefix) &&
        (MatchesHost(rule, host) || MatchesHost(rule, query.host)) &&
        MatchesMethod(rule, query.method)) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace camphor

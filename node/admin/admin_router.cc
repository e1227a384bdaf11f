#include "node/admin/admin_router.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <utility>

#include "core/base/digest.h"

namespace camphor {
namespace {

constexpr std::string_view kSingleWildcard = "{}";
constexpr std::string_view kMultiWildcard = "{*}";

std::vector<std::string> Split(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(path.front() == '/' ? 1 : 0);
    const std::size_t end = std::min(path.find('/'), path.size());
    if (end > 0) segments.emplace_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return segments;
}

std::string Join(const std::vector<std::string>& segments, std::size_t first,
                 std::size_t last) {
  std::string joined;
  for (std::size_t index = first; index < last; ++index) {
    if (index > first) joined += '/';
    joined += segments[index];
  }
  return joined;
}

/// Returns the wildcard captures, or an empty optional if the path does not
/// match.
std::optional<std::vector<std::string>> Match(
    const std::vector<std::string>& pattern,
    const std::vector<std::string>& path) {
  std::vector<std::string> captures;
  std::size_t position = 0;
  for (std::size_t index = 0; index < pattern.size(); ++index) {
    const std::size_t remaining = pattern.size() - index - 1;
    if (position + remaining >= path.size()) return std::nullopt;
    if (pattern[index] == kMultiWildcard) {
      // Greedy: leaves only as many segments as the remaining pattern needs.
      captures.push_back(Join(path, position, path.size() - remaining));
      position = path.size() - remaining;
      continue;
    }
    if (pattern[index] == kSingleWildcard) {
      captures.push_back(path[position]);
    } else if (pattern[index] != path[position]) {
      return std::nullopt;
    }
    ++position;
  }
  if (position != path.size()) return std::nullopt;
  return captures;
}

}  // namespace

AdminRouter::AdminRouter(std::string_view operator_token)
    : expected_digest_(
          Digest::Of("Bearer " + std::string(operator_token)).hex()) {}

void AdminRouter::Add(std::string method, std::string_view pattern,
                      AdminAccess access, Handler handler) {
  resources_.push_back({.method = std::move(method),
                        .segments = Split(pattern),
                        .access = access,
                        .handler = std::move(handler)});
}

void AdminRouter::Route(const AdminRequest& request,
                        const AdminRespond& respond) const {
  const std::vector<std::string> path = Split(request.path);
  std::string allowed;
  for (const Resource& resource : resources_) {
    std::optional<std::vector<std::string>> captures =
        Match(resource.segments, path);
    if (!captures.has_value()) continue;
    if (resource.method != request.method) {
      allowed += (allowed.empty() ? "" : ", ") + resource.method;
      continue;
    }
    std::optional<AdminResponse> error = CheckAccess(resource, request);
    if (error.has_value()) return respond(std::move(*error));
    return resource.handler(
        {.request = request, .captures = std::move(*captures)}, respond);
  }
  if (allowed.empty()) {
    return respond(AdminError(404, "not_found", "resource not found"));
  }
  AdminResponse response = AdminError(405, "method_not_allowed",
                                      "the resource supports only " + allowed);
  response.allow = std::move(allowed);
  respond(std::move(response));
}

std::optional<AdminResponse> AdminRouter::CheckAccess(
    const Resource& resource, const AdminRequest& request) const {
  switch (resource.access) {
    case AdminAccess::kAnyone:
      return std::nullopt;
    case AdminAccess::kLoopback:
      if (request.from_loopback) return std::nullopt;
      return AdminError(403, "forbidden",
                        "only requests from this host are allowed");
    case AdminAccess::kOperator:
      if (HasOperatorToken(request)) return std::nullopt;
      return AdminError(401, "unauthorized",
                        "operator token required: Authorization: Bearer TOKEN");
  }
  return std::nullopt;
}

bool AdminRouter::HasOperatorToken(const AdminRequest& request) const {
  // Digests have a fixed length, so the comparison takes constant time.
  const std::string given = Digest::Of(request.authorization).hex();
  return CRYPTO_memcmp(given.data(), expected_digest_.data(),
                       expected_digest_.size()) == 0;
}

}  // namespace camphor
